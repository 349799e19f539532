//! Shares of an organisation's allowance, and loans between nodes.

use balsamfold::process::relay::AllowanceDecision;
use balsamfold::process::relay::Allowances;
use balsamfold::values::ConfigVersion;
use balsamfold::values::MonotonicTime;
use balsamfold::values::TokenCount;
use balsamfold::version::CallerKey;
use balsamfold::version::OrganisationLimits;
use balsamfold::version::TrafficPlan;
use proptest::prelude::*;
use testutils::relay::at_ms;
use testutils::relay::organisation_limits;
use testutils::relay::sample_organisation;

fn plan_with(limits: OrganisationLimits) -> TrafficPlan {
    let mut plan = TrafficPlan::new(ConfigVersion(1));
    plan.add_organisation(limits, [CallerKey::new("secret")]);
    plan
}

fn granted(allowances: &mut Allowances, now: MonotonicTime) -> bool {
    allowances.take(&sample_organisation(), now) == AllowanceDecision::Granted
}

#[test]
fn shares_of_all_nodes_stay_within_the_allowance() {
    let plan = plan_with(organisation_limits(100, 50));
    let mut nodes: Vec<Allowances> = (0..5).map(|_| Allowances::default()).collect();
    for node in &mut nodes {
        node.set_plan(&plan, 5, at_ms(0));
    }
    let mut run = 0;
    for ms in 0..10_000 {
        for node in &mut nodes {
            run += u32::from(granted(node, at_ms(ms)));
        }
    }
    assert!((900..=1_050).contains(&run), "{run} requests ran");
}

#[test]
fn node_starts_without_tokens_and_grants_every_request_without_a_limit() {
    let mut limited = Allowances::default();
    limited.set_plan(&plan_with(organisation_limits(100, 50)), 5, at_ms(0));
    assert!(!granted(&mut limited, at_ms(0)));
    let mut unlimited = Allowances::default();
    let no_limit = OrganisationLimits {
        rate_per_s: None,
        ..organisation_limits(0, 0)
    };
    unlimited.set_plan(&plan_with(no_limit), 5, at_ms(0));
    assert!(granted(&mut unlimited, at_ms(0)));
}

#[test]
fn lowering_the_limit_discards_excess_tokens() {
    let mut allowances = Allowances::default();
    allowances.set_plan(&plan_with(organisation_limits(100, 100)), 1, at_ms(0));
    allowances.set_plan(&plan_with(organisation_limits(5, 5)), 1, at_ms(5_000));
    let run = (0..100)
        .filter(|_| granted(&mut allowances, at_ms(5_000)))
        .count();
    assert_eq!(run, 5);
}

#[test]
fn borrowing_backs_off_after_a_loan_of_zero_tokens() {
    let mut allowances = Allowances::default();
    allowances.set_plan(&plan_with(organisation_limits(10, 10)), 5, at_ms(0));
    assert!(allowances.begin_borrowing(&sample_organisation(), at_ms(0)));
    assert!(!allowances.begin_borrowing(&sample_organisation(), at_ms(1)));
    allowances.end_borrowing(&sample_organisation(), TokenCount(0), at_ms(2));
    assert!(!allowances.begin_borrowing(&sample_organisation(), at_ms(3)));
    assert!(allowances.begin_borrowing(&sample_organisation(), at_ms(400)));
}

proptest! {
    #[test]
    fn lending_creates_no_tokens(steps in prop::collection::vec((0_usize..4, 0_usize..4), 1..60)) {
        let plan = plan_with(organisation_limits(40, 40));
        let mut nodes: Vec<Allowances> = (0..4).map(|_| Allowances::default()).collect();
        for node in &mut nodes {
            node.set_plan(&plan, 4, at_ms(0));
        }
        let now = at_ms(60_000);
        for (borrower, lender) in steps {
            if borrower != lender && nodes[borrower].begin_borrowing(&sample_organisation(), now) {
                let lent = nodes[lender].lend(&sample_organisation(), now);
                nodes[borrower].end_borrowing(&sample_organisation(), lent, now);
            }
        }
        let run = nodes
            .iter_mut()
            .map(|node| (0..100).filter(|_| granted(node, now)).count())
            .sum::<usize>();
        prop_assert!(run <= 40, "{} requests ran", run);
    }
}
