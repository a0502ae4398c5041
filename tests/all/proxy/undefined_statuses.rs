//! Responses whose status is none that HTTP defines.

use std::rc::Rc;

use cactustrack_platform::PlatformDialect;
use cactustrack_proxy::{DefaultDialect, Dialect};
use cactustrack_test_support::caller::Call;
use cactustrack_test_support::upstream::Behaviour;

use super::harness::{RawUpstream, Setup, upstreams, wait_until};

/// Status lines from `HTTP/1.1` on. Final statuses are 200 to 599.
const STATUSES: [&str; 9] = ["000", "099", "0", "20", "199", "600", "999", "1000", "-200"];

const DIALECTS: [fn() -> Rc<dyn Dialect>; 2] =
    [|| Rc::new(PlatformDialect), || Rc::new(DefaultDialect)];

/// Requests that are executed at most once, that may be repeated, and for large responses.
const PATHS: [&str; 3] = ["/n/x", "/x", "/bytes/x"];

fn faulty_upstream(status: &str) -> RawUpstream {
    let headers = "Cactustrack-Request-Id: id-1\r\nCactustrack-Backend-Signature: s\r\n";
    RawUpstream::responding(format!(
        "HTTP/1.1 {status} x\r\n{headers}Content-Length: 4\r\n\r\ndone"
    ))
}

fn call(path: &str) -> Call {
    Call::get("a", path).with_header("cactustrack-request-id", "id-1")
}

/// Guards against a caller that gets a status such as 000 or 999 as an answer, and against an
/// upstream in trouble that stays in use because such an answer counts as usable.
#[test]
fn a_response_with_an_undefined_status_is_a_failure() {
    for dialect in DIALECTS {
        for path in PATHS {
            for status in STATUSES {
                let upstream = faulty_upstream(status);
                let targets = [("up-0", upstream.address)];
                let harness = Setup { dialect, ..Setup::with(&targets) }.start();
                let response = harness.call(&call(path));
                assert_eq!(response.status, 502, "{path}, {status}: {}", response.text());
                assert!(!response.headers.contains_key("cactustrack-backend-signature"));
                let is_reported = || harness.events.has("finish up-0 failed");
                wait_until("the upstream is reported as failed", is_reported);
            }
        }
    }
}

/// Guards against a request that fails although another upstream can serve it, and against one that
/// is executed twice.
#[test]
fn only_repeatable_requests_are_sent_again_after_an_undefined_status() {
    for dialect in DIALECTS {
        for path in PATHS {
            let faulty = faulty_upstream("999");
            let healthy = upstreams(&["up-1"], &Behaviour::default());
            let targets = [("up-0", faulty.address), ("up-1", healthy.all[0].address)];
            let harness = Setup { dialect, ..Setup::with(&targets) }.start();
            let response = harness.call(&call(path));
            let is_repeatable = !path.starts_with("/n");
            assert_eq!(response.status, if is_repeatable { 200 } else { 502 }, "{path}");
            let executed = healthy.all[0].control.executed().len();
            assert_eq!(executed, usize::from(is_repeatable), "{path}");
        }
    }
}
