//! Analysis of lost requests in logs.

use ctl::losses::analyze;
use ctl::{ExitStatus, commands, options};
use std::fmt::Write as _;
use std::path::PathBuf;

/// A temporary log file, removed on drop.
struct Log(PathBuf);

impl Log {
    fn write(test: &str, text: &str) -> Self {
        let name = format!("sesame-losses-{}-{test}.log", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a temporary file");
        Self(path)
    }

    async fn run(&self, json: bool) -> (ExitStatus, String) {
        let path = self.0.display().to_string();
        let mut arguments = vec!["losses", path.as_str()];
        if json {
            arguments.push("--json");
        }
        let command = options::parser()
            .run_inner(&*arguments)
            .expect("valid arguments");
        let report = commands::run(command).await.expect("the log can be read");
        (report.exit_status, report.text)
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        // A file that can't be removed must not fail the test.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Demand shifts to a model held by one of two upstreams; loading a second copy
/// is decided, another model is unloaded for it, and the copy serves a request.
/// The coordinator stops, and another one begins later.
const SHIFTED_DEMAND: &str = r#"
one {"event":"giver_began","t_ms":500,"token":1}
one {"event":"request","id":"r-1","model":"m1/a6","outcome":"answered","ms":90,"t_ms":1090,"tries":[{"upstream":"i-1","outcome":"begun"}]}
one {"event":"request","id":"r-2","model":"m1","outcome":"overloaded","ms":0,"t_ms":1500,"tries":[{"unpicked":"too_late"}]}
one {"event":"request","id":"r-3","model":"m2","outcome":"answered","ms":10,"t_ms":1600,"tries":[{"upstream":"i-2","outcome":"begun"}]}
one {"event":"move","load":"m1","unload":"m3","upstream":"i-2","t_ms":2500}
one {"event":"order","action":"Unload(\"m3\")","upstream":"i-2","t_ms":2510,"outcome":"Answered(Accepted)"}
one {"event":"order","action":"Load(\"m1\")","upstream":"i-2","t_ms":3100,"outcome":"Answered(Accepted)"}
two {"event":"request","id":"r-4","model":"m1","outcome":"answered","ms":100,"t_ms":9700,"tries":[{"upstream":"i-2","outcome":"begun"}]}
one {"event":"giver_paused","t_ms":10000,"token":1}
one {"event":"peer_lost","t_ms":11000}
two {"event":"giver_began","t_ms":14000,"token":2}
no line of a log
"#;

#[test]
fn losses_are_counted_by_time_and_model() {
    let log = Log::write("slices", SHIFTED_DEMAND);
    let report =
        analyze(std::slice::from_ref(&log.0), 2_000).expect("the log can be read");
    assert_eq!(report.unreadable_lines, 1);
    assert_eq!(report.from_ms, 1_000);
    assert_eq!(report.outcomes["answered"], 3);
    assert_eq!(report.outcomes["overloaded, too_late"], 1);
    let first = &report.slices[0];
    assert_eq!((first.from_ms, first.upstreams.len()), (0, 2));
    let busiest = &first.models[0];
    assert_eq!((&*busiest.model, busiest.requests), ("m1", 2));
    assert_eq!(busiest.lost["overloaded, too_late"], 1);
    assert_eq!(busiest.attempts["i-1"], 1);
}

#[test]
fn move_phases_and_the_time_without_a_coordinator_are_reported() {
    let log = Log::write("moves", SHIFTED_DEMAND);
    let report =
        analyze(std::slice::from_ref(&log.0), 2_000).expect("the log can be read");
    assert_eq!(report.moves.decided.median_ms, 1_000);
    assert_eq!(report.moves.ordered.median_ms, 600);
    assert_eq!(report.moves.served.median_ms, 6_500);
    assert_eq!(report.without_coordinator.len(), 1);
    assert_eq!(report.without_coordinator[0].duration_ms(), 4_000);
}

/// A killed coordinator logs no end of its term, so the term ends at its last
/// line.
#[test]
fn the_term_of_a_killed_coordinator_ends_at_its_last_line() {
    let log = r#"
one {"event":"giver_began","t_ms":500,"token":1}
one {"event":"request","id":"r-1","model":"m1","outcome":"answered","ms":0,"t_ms":3000,"tries":[]}
one {"event":"started","t_ms":7000}
one {"event":"giver_began","t_ms":7500,"token":2}
"#;
    let log = Log::write("killed", log);
    let report =
        analyze(std::slice::from_ref(&log.0), 2_000).expect("the log can be read");
    assert_eq!(report.without_coordinator[0].from_ms, 3_000);
    assert_eq!(report.without_coordinator[0].to_ms, 7_500);
}

#[tokio::test]
async fn a_log_without_requests_is_an_error() {
    let log = Log::write("none", "one {\"event\":\"started\",\"t_ms\":7000}\nwhat\n");
    let (exit, text) = log.run(false).await;
    assert_eq!(exit, ExitStatus::Invalid);
    assert!(text.contains("1 lines could not be read"), "{text}");
}

#[tokio::test]
async fn losses_are_printed_as_text_and_as_json() {
    let log = Log::write("told", SHIFTED_DEMAND);
    let (exit, text) = log.run(false).await;
    assert_eq!(exit, ExitStatus::Ok);
    assert!(text.contains("without a leader: 4000 ms"), "{text}");
    assert!(
        text.contains("m1: 2 asked, tries at 1 upstreams (1)"),
        "{text}"
    );
    let (_, json) = log.run(true).await;
    let json: serde_json::Value = serde_json::from_str(&json).expect("it is JSON");
    assert_eq!(json["moves"]["ordered"]["longest_ms"], 600);
}

/// The time per line must stay small: a day's log of a large deployment has to
/// be read in seconds, also in a test build.
#[test]
fn many_lines_are_counted() {
    let mut text = String::new();
    for number in 0..20_000 {
        let t_ms = 1_000 + number;
        let model = number % 50;
        writeln!(
            text,
            "e {{\"event\":\"request\",\"id\":\"r-{number}\",\"model\":\"m{model}\",\
             \"outcome\":\"answered\",\"ms\":5,\"t_ms\":{t_ms},\
             \"tries\":[{{\"upstream\":\"i-{}\",\"outcome\":\"begun\"}}]}}",
            number % 7
        )
        .expect("writing to a string can't fail");
    }
    let log = Log::write("many", &text);
    let report =
        analyze(std::slice::from_ref(&log.0), 2_000).expect("the log can be read");
    let models = report.slices.iter().flat_map(|slice| &slice.models);
    assert_eq!(models.map(|model| model.requests).sum::<u64>(), 20_000);
}
