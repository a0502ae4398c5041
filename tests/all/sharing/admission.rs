//! Whether a request is taken, and when a rejected one may return.

use std::time::Duration;

use cactustrack_fleet::admission::{AdmissionRequest, retry_after, wait_limit};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that wait for an answer that would come too late, and against urgent
/// ones that are rejected while less urgent ones are taken.
#[test]
fn a_request_waits_only_while_its_answer_is_of_use() {
    let usual = AdmissionRequest {
        remaining: ms(4_000),
        target_left: ms(1_200),
        service_time: ms(400),
        more_urgent_ranks: 0,
    };
    struct Case {
        candidate: AdmissionRequest,
        least: Duration,
        most: Duration,
    }
    let cases = [
        Case { candidate: usual, least: ms(400), most: ms(800) },
        Case {
            candidate: AdmissionRequest { more_urgent_ranks: 1, ..usual },
            least: ms(200),
            most: ms(400),
        },
        // Late, but still worth something.
        Case {
            candidate: AdmissionRequest { target_left: ms(0), remaining: ms(2_000), ..usual },
            least: ms(100),
            most: ms(400),
        },
        // The caller leaves before an answer could come.
        Case {
            candidate: AdmissionRequest { remaining: ms(500), ..usual },
            least: ms(0),
            most: ms(0),
        },
    ];
    for Case { candidate, least, most } in cases {
        let limit = wait_limit(&candidate);
        assert!((least..=most).contains(&limit), "{candidate:?}: {limit:?}");
    }
}

/// Guards against callers that come together and return together, and against a return that is too
/// late to be served.
#[test]
fn returns_are_spread_within_the_time_left() {
    let times: Vec<_> =
        (0..=10).map(|step| retry_after(ms(100), ms(3_000), f64::from(step) / 10.0)).collect();
    assert!(times.is_sorted());
    assert!(times[10] - times[0] >= ms(500), "spread over {:?}", times[10] - times[0]);
    assert!(times[10] <= ms(1_000), "a third of the time left");
}
