//! The story of a request, from its id to its cause.

use std::ffi::OsString;
use std::fs;
use std::time::Duration;

use cactustrack::cli::{self, Exit};
use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::rig::{HOST, ORDERS, Rig, request, wait_for};

fn trace(rig: &Rig, id: &str) -> (Exit, String) {
    let name = format!("cactustrack-story-{}-{id}.log", std::process::id());
    let file = std::env::temp_dir().join(name);
    // Collectors put a time before each line.
    let lines: Vec<_> = rig.instances.iter().flat_map(|instance| instance.lines_with("")).collect();
    fs::write(&file, lines.iter().map(|line| format!("12.5 edge {line}\n")).collect::<String>())
        .expect("a log file");
    let args = [OsString::from("cactustrack"), "trace".into(), id.into(), file.clone().into()];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::run(args, &mut out, &mut err);
    let _ = fs::remove_file(file);
    (exit, String::from_utf8_lossy(&out).into_owned())
}

/// Guards against failed requests whose cause cannot be told from the logs.
#[test]
fn failed_requests_are_explained_by_the_logs() {
    struct Case {
        id: &'static str,
        prepare: fn(&Rig),
        status: StatusCode,
        told: &'static [&'static str],
    }
    let cases = [
        Case {
            id: "refused",
            prepare: |rig| rig.upstreams.all[0].control.set(|up| up.shed = true),
            status: StatusCode::BAD_GATEWAY,
            told: &["answer     502", "execution unknown"],
        },
        Case {
            id: "broken",
            prepare: |rig| {
                rig.upstreams.all[0].control.set(|up| {
                    up.shed = false;
                    up.break_after_run = true;
                });
            },
            status: StatusCode::BAD_GATEWAY,
            told: &["up-0 failed", "reason     upstream-failed, execution unknown"],
        },
        Case {
            id: "unlisted",
            prepare: |rig| {
                rig.store.remove("servers/up-0");
                wait_for("the removal", || {
                    !rig.instances[0].lines_with("no longer listed").is_empty()
                });
            },
            status: StatusCode::SERVICE_UNAVAILABLE,
            told: &["reason     no-upstream, execution not_run", "no longer listed"],
        },
    ];
    let rig = Rig::start(1, 1, &[ORDERS]);
    for case in cases {
        (case.prepare)(&rig);
        let call = request(Call::post(HOST, "/orders/x"), case.id, Duration::from_secs(3));
        assert_eq!(rig.call(0, &call).status, case.status, "{}", case.id);
        let mark = format!("\"request\":\"{}\"", case.id);
        wait_for("the line", || !rig.instances[0].lines_with(&mark).is_empty());
        let (exit, story) = trace(&rig, case.id);
        assert_eq!(exit, Exit::Ok);
        for told in case.told {
            assert!(story.contains(told), "{}: {told:?} is not in\n{story}", case.id);
        }
    }
    assert_eq!(trace(&rig, "never-sent").0, Exit::Findings);
}

/// Guards against a caller whose request id forges a line or a field of the log.
#[test]
fn a_hostile_request_id_forges_nothing() {
    let rig = Rig::start(1, 1, &[ORDERS]);
    let long = "x".repeat(3_000);
    let ids = ["a\tb", "\",\"status\":200,\"x\":\"", "{\"msg\":\"proxy: request ended\"}", &long];
    for id in ids {
        let call = request(Call::post(HOST, "/orders/x"), id, Duration::from_secs(3));
        rig.call(0, &call);
    }
    let lines = || rig.instances[0].lines_with("proxy: request ended");
    wait_for("all lines", || lines().len() == ids.len());
    for line in lines() {
        let line: serde_json::Value = serde_json::from_str(&line).expect("one JSON object");
        assert_eq!(line["msg"], "proxy: request ended");
        assert!(line["request"].as_str().expect("an id").len() <= 64);
    }
}
