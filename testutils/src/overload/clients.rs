//! Clients: sends, timeouts and resends of root requests.

use std::time::Duration;

use balsamfold::request::RefusalReason;
use balsamfold::values::MonotonicTime;
use balsamfold::values::RequestId;
use rand::Rng;

use super::Control;
use super::driver::Driver;
use super::driver::Event;
use super::model::Attempt;
use super::model::Role;
use super::model::RootRequest;

/// Timeout of a send of a client, and of a call without a deadline.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Resends by a client of a request that was not served.
pub(super) const CLIENT_RESENDS: u32 = 3;

/// Retries of each call when attempts are not bounded over the call tree.
pub(super) const HOP_RETRIES: u32 = 2;

/// Attempts beyond the first of a whole call tree when attempts are bounded.
pub(super) const EXTRA_ATTEMPTS: u32 = 1;

impl<'a> Driver<'a> {
    pub(super) fn schedule_first_send(&mut self, organisation: usize) {
        let rate = f64::from(self.deployment.organisations[organisation].rate_per_s);
        let factor = match organisation {
            0 if self.in_trigger() => self.deployment.excess_factor,
            _ => self.deployment.load,
        };
        let gap_s = -(1.0 - self.random.random::<f64>()).ln() / (rate * factor);
        let gap = Duration::from_secs_f64(gap_s);
        if self.now.after(gap).since(MonotonicTime::default()) < self.deployment.end {
            self.after(gap, Event::FirstSend { organisation });
        }
    }

    pub(super) fn first_send(&mut self, organisation: usize) {
        let mut draw = self.random.random::<f64>();
        let routes = &self.deployment.routes;
        let route = routes.iter().position(|route| {
            draw -= route.share;
            draw < 0.0
        });
        self.requests.push(RootRequest {
            route: route.unwrap_or(0),
            organisation,
            first_sent_at: self.now,
            within_rate: self.first_send_buckets[organisation].try_take(self.now),
            sends: 0,
            served_at: None,
            refused_for_rate: false,
            refused_otherwise: false,
        });
        self.send(self.requests.len() - 1);
        self.schedule_first_send(organisation);
    }

    pub(super) fn send(&mut self, request: usize) {
        self.requests[request].sends += 1;
        self.attempts.push(Attempt {
            request,
            root: RequestId(self.random.random()),
            deadline: self.now.after(REQUEST_TIMEOUT),
            extra_attempts: EXTRA_ATTEMPTS,
            ended: false,
            served: false,
            held: Duration::ZERO,
            open_calls: Vec::new(),
        });
        let attempt = self.attempts.len() - 1;
        self.after(self.deployment.client_delay, Event::Enter { attempt });
        self.after(REQUEST_TIMEOUT, Event::SendTimeout { attempt });
    }

    pub(super) fn enter(&mut self, attempt: usize) {
        let ingress = self.random.random_range(0..self.nodes.len());
        match self.refusal_at_ingress(attempt, ingress) {
            Some(reason) => self.end_send(attempt, Some(reason)),
            None => self.call(attempt, 0, ingress, None, HOP_RETRIES, &[]),
        }
    }

    pub(super) fn refusal_at_ingress(
        &mut self,
        attempt: usize,
        ingress: usize,
    ) -> Option<RefusalReason> {
        if self.control != Control::All {
            return None;
        }
        let organisation = self.requests[self.attempts[attempt].request].organisation;
        match self.downstream_admits(attempt, ingress, Role::Ingress) {
            false => Some(RefusalReason::Overloaded),
            true if !self.send_buckets[organisation].try_take(self.now) => {
                Some(RefusalReason::RateExceeded)
            }
            true => None,
        }
    }

    pub(super) fn send_timeout(&mut self, attempt: usize) {
        if self.attempts[attempt].ended {
            return;
        }
        if self.control == Control::All {
            let open_calls = std::mem::take(&mut self.attempts[attempt].open_calls);
            open_calls.into_iter().for_each(|key| self.cancel(key));
        }
        self.attempts[attempt].ended = true;
        self.resend(attempt);
    }

    pub(super) fn end_send(&mut self, attempt: usize, reason: Option<RefusalReason>) {
        let request = self.attempts[attempt].request;
        match reason {
            Some(RefusalReason::RateExceeded) => self.requests[request].refused_for_rate = true,
            Some(_) => self.requests[request].refused_otherwise = true,
            None => {}
        }
        let served = reason.is_none();
        let delay = self.deployment.client_delay;
        self.after(delay, Event::ClientResponse { attempt, served });
    }

    pub(super) fn client_response(&mut self, attempt: usize, served: bool) {
        if self.attempts[attempt].ended {
            return;
        }
        self.attempts[attempt].ended = true;
        self.attempts[attempt].served = served;
        match served {
            true => {
                let request = self.attempts[attempt].request;
                self.requests[request].served_at = Some(self.now);
            }
            false => self.resend(attempt),
        }
    }

    /// Resends after a short delay, whatever the response was.
    pub(super) fn resend(&mut self, attempt: usize) {
        let request = self.attempts[attempt].request;
        if self.requests[request].sends <= CLIENT_RESENDS {
            let pause = Duration::from_millis(self.random.random_range(10..50));
            self.after(pause, Event::Send { request });
        }
    }
}
