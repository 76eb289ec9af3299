//! Retry budgets: one layer retries, and all entries keep to one allowance.

use std::time::Duration;

use pulley_core::RequestVerdict;
use pulley_core::request::{
    AttemptOutcome, RetryAllowance, RetryBudget, RetryDecision, RetryInputs,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MS: Duration = Duration::from_millis(1);

fn failed_once() -> RetryInputs {
    RetryInputs {
        most_attempts: 2,
        outcome: AttemptOutcome::Failed,
        verdict: RequestVerdict::MayHaveRun,
        idempotent: true,
        attempt: 0,
        retried_downstream: false,
        time_left: 500 * MS,
        min_time: 20 * MS,
    }
}

// An upstream at the bottom of calls seven layers deep fails. If each layer tried three times, it
// would be called 2,187 times for one request at the top.
#[test]
fn one_layer_retries_within_its_budget() {
    let mut budget = RetryBudget::new();
    let inputs = RetryInputs { most_attempts: 3, ..failed_once() };
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retries += u32::from(budget.decide(&inputs) == RetryDecision::Retry);
    }
    assert!((100..=103).contains(&retries), "{retries} retries of 1,000 requests");
    for above in [
        RetryInputs { retried_downstream: true, ..inputs },
        RetryInputs { idempotent: false, ..inputs },
        RetryInputs { attempt: 2, ..inputs },
        RetryInputs { time_left: 10 * MS, ..inputs },
    ] {
        assert_ne!(RetryBudget::new().decide(&above), RetryDecision::Retry, "{above:?}");
    }
}

// Upstreams fail for half a minute, and all entries restart in the middle of it. However the
// requests are spread over entries that exchange nothing, the retries of any ten seconds must stay
// within the operator's allowance for all of them together.
#[test]
fn entries_keep_to_a_retry_allowance_without_agreeing() {
    let allowance = RetryAllowance { percent: 17, extra: 75 };
    for entries in [3_usize, 20, 29] {
        let fresh = || RetryBudget::within(allowance, u32::try_from(entries).expect("few"));
        let mut budgets: Vec<RetryBudget> = (0..entries).map(|_| fresh()).collect();
        let inputs = failed_once();
        let mut rng = StdRng::seed_from_u64(3);
        let mut seconds = vec![(0_u32, 0_u32); 40];
        for (second, counted) in seconds.iter_mut().enumerate() {
            if second == 20 {
                budgets = (0..entries).map(|_| fresh()).collect();
            }
            for _ in 0..200 {
                // Some entries get several times the requests of others.
                let entry = rng.random_range(0..entries).min(rng.random_range(0..entries));
                budgets[entry].record_request();
                let retries = budgets[entry].decide(&inputs) == RetryDecision::Retry;
                counted.0 += 1;
                counted.1 += u32::from(retries);
            }
        }
        for window in seconds.windows(10) {
            let (requests, retries) =
                window.iter().fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1));
            assert!(
                retries <= requests / 5 + 75,
                "{retries} retries, {requests} requests, {entries} entries"
            );
            assert!(
                retries >= requests / 10,
                "{retries} retries, {requests} requests, {entries} entries"
            );
        }
    }
}
