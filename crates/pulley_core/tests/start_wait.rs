//! How long requests wait at a host that has just started.

use std::time::Duration;

use pulley_core::request::{not_ready_retry, start_wait};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// All hosts were killed and are back half a second later, and callers come at once, with one retry
// each. The hosts know the configuration a third of a second after their start. Every request that
// comes in between must wait for it, and keep half of its time for the work.
#[test]
fn a_request_waits_at_a_starting_host_for_part_of_its_time() {
    assert_eq!(start_wait(ms(0), None), Some(ms(800)));
    assert_eq!(start_wait(ms(300), Some(ms(3_000))), Some(ms(500)));
    assert_eq!(start_wait(ms(300), Some(ms(400))), Some(ms(200)));
    assert!(not_ready_retry(ms(300)) < ms(300), "its caller comes back while it can be served");
}

// A host that is cut off from the others never gets ready. Its callers must be refused at once, so
// that they spend their time elsewhere.
#[test]
fn no_request_waits_after_the_start_timeout() {
    for uptime in [800, 900, 60_000] {
        assert_eq!(start_wait(ms(uptime), Some(ms(10_000))), None);
        assert_eq!(not_ready_retry(ms(uptime)), ms(1_000));
    }
}
