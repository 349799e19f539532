//! Results of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use balsamfold::values::MonotonicTime;

use super::Deployment;
use super::model::Attempt;
use super::model::RootRequest;

/// Upper bound on the time of a send. Requests sent less than this before the trigger are not
/// counted as outside the overload, because their sends may last into the trigger.
const SEND_TIME_MAX: Duration = Duration::from_secs(1);

/// Window over which goodput is compared with that before the trigger.
const RECOVERY_WINDOW: Duration = Duration::from_secs(1);

/// Distance of the starts of the windows that are examined for the recovery.
const RECOVERY_STEP: Duration = Duration::from_millis(100);

/// Fraction of the goodput before the trigger from which on the deployment has recovered.
const RECOVERED_FRACTION: f64 = 0.95;

/// Time at the start of the experiment that does not count for the goodput before the trigger.
const WARM_UP: Duration = Duration::from_secs(1);

/// Results of an experiment. Fractions are from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Fraction of the requests sent during the trigger that were served, by importance, over the
    /// organisations that keep their rate.
    pub served_keeping_rate: BTreeMap<u8, f64>,
    /// The same over all organisations. Of the organisation that exceeds its rate, only those
    /// requests count for which a token bucket over first sends has a token.
    pub served_within_rate: BTreeMap<u8, f64>,
    /// Root requests through the slowed service that were served per second of the trigger, as a
    /// fraction of the requests that this service can finish.
    pub goodput_of_capacity: f64,
    /// Time from the end of the trigger until goodput reaches 95 % of that before the trigger, or
    /// `None` if it does not.
    pub recovery: Option<Duration>,
    /// Fraction of the requests within rate and sent during the trigger that were served, by
    /// organisation.
    pub served_by_organisation: Vec<f64>,
    /// Fraction of the requests within rate and sent outside the trigger and the five seconds after
    /// it that were refused for another reason than the rate.
    pub refused_outside_overload: f64,
    /// Fraction of the requests within rate of which at least one send, first or resend, was
    /// refused for the rate.
    pub refused_for_rate: f64,
    /// Fraction of the time for which slots were held that was spent on sends that failed.
    pub slots_wasted: f64,
    /// Number of root requests served in each second.
    pub served_per_s: Vec<usize>,
    /// Number of root requests of all organisations.
    pub requests: usize,
    /// Number of sends, including resends.
    pub sends: usize,
}

impl Report {
    pub(super) fn new(
        deployment: &Deployment,
        requests: &[RootRequest],
        attempts: &[Attempt],
    ) -> Self {
        let in_trigger: Vec<_> = requests
            .iter()
            .filter(|request| request.within_rate)
            .filter(|request| {
                let at = time_of(request.first_sent_at);
                (deployment.trigger_start..deployment.trigger_end).contains(&at)
            })
            .collect();
        let by_importance = |of: fn(&RootRequest) -> bool| {
            let importances = deployment.routes.iter().map(|route| route.importance);
            importances
                .map(|importance| {
                    let served = served_fraction(&in_trigger, |request| {
                        of(request) && deployment.routes[request.route].importance == importance
                    });
                    (importance, served)
                })
                .collect()
        };
        Self {
            served_keeping_rate: by_importance(|request| request.organisation != 0),
            served_within_rate: by_importance(|_| true),
            goodput_of_capacity: goodput_of_capacity(deployment, requests),
            recovery: recovery(deployment, requests),
            served_by_organisation: (0..deployment.organisations.len())
                .map(|organisation| {
                    served_fraction(&in_trigger, |request| request.organisation == organisation)
                })
                .collect(),
            refused_outside_overload: refused_outside_overload(deployment, requests),
            refused_for_rate: fraction(
                requests,
                |request| request.within_rate,
                |request| request.refused_for_rate,
            ),
            slots_wasted: slots_wasted(attempts),
            served_per_s: (0..deployment.end.as_secs())
                .map(Duration::from_secs)
                .map(|from| served_in(requests, from, from + Duration::from_secs(1)))
                .collect(),
            requests: requests.len(),
            sends: attempts.len(),
        }
    }

    /// Returns the fraction of its requests that were served for the worst-served organisation.
    pub fn lowest_served_fraction(&self) -> f64 {
        let served = self.served_by_organisation.iter().copied();
        served.fold(1.0, f64::min)
    }
}

fn time_of(at: MonotonicTime) -> Duration {
    at.since(MonotonicTime::default())
}

fn served_fraction(requests: &[&RootRequest], of: impl Fn(&RootRequest) -> bool) -> f64 {
    fraction(requests.iter().copied(), of, |request| {
        request.served_at.is_some()
    })
}

fn fraction<'a>(
    requests: impl IntoIterator<Item = &'a RootRequest>,
    of: impl Fn(&RootRequest) -> bool,
    hit: impl Fn(&RootRequest) -> bool,
) -> f64 {
    let chosen: Vec<_> = requests.into_iter().filter(|request| of(request)).collect();
    let hits = chosen.iter().filter(|request| hit(request)).count();
    hits as f64 / chosen.len().max(1) as f64
}

fn served_in(requests: &[RootRequest], from: Duration, to: Duration) -> usize {
    requests
        .iter()
        .filter_map(|request| request.served_at)
        .filter(|at| (from..to).contains(&time_of(*at)))
        .count()
}

fn goodput_of_capacity(deployment: &Deployment, requests: &[RootRequest]) -> f64 {
    let needing_slowed: Vec<_> = requests
        .iter()
        .filter(|request| deployment.needs_slowed(request.route))
        .cloned()
        .collect();
    let (from, to) = (deployment.trigger_start, deployment.trigger_end);
    let served = served_in(&needing_slowed, from, to) as f64;
    served / (to - from).as_secs_f64() / deployment.slowed_capacity_per_s()
}

fn recovery(deployment: &Deployment, requests: &[RootRequest]) -> Option<Duration> {
    let before = served_in(requests, WARM_UP, deployment.trigger_start) as f64;
    let before_per_s = before / (deployment.trigger_start - WARM_UP).as_secs_f64();
    let mut from = deployment.trigger_end;
    while from + RECOVERY_WINDOW <= deployment.end {
        let served = served_in(requests, from, from + RECOVERY_WINDOW) as f64;
        if served / RECOVERY_WINDOW.as_secs_f64() >= before_per_s * RECOVERED_FRACTION {
            return Some(from - deployment.trigger_end);
        }
        from += RECOVERY_STEP;
    }
    None
}

fn refused_outside_overload(deployment: &Deployment, requests: &[RootRequest]) -> f64 {
    let settled = deployment.trigger_end + Duration::from_secs(5);
    let is_counted = |request: &RootRequest| {
        let at = time_of(request.first_sent_at);
        request.within_rate && (at + SEND_TIME_MAX < deployment.trigger_start || at >= settled)
    };
    fraction(requests, is_counted, |request| request.refused_otherwise)
}

fn slots_wasted(attempts: &[Attempt]) -> f64 {
    let held = |of: fn(&Attempt) -> bool| -> f64 {
        let chosen = attempts.iter().filter(|attempt| of(attempt));
        chosen.map(|attempt| attempt.held.as_secs_f64()).sum()
    };
    held(|attempt| !attempt.served) / held(|_| true).max(f64::MIN_POSITIVE)
}
