//! Search of logs for the lines about a request or a model.

use ctl::history::{self, History};
use ctl::{ExitStatus, commands, options};
use std::path::PathBuf;

/// Temporary log files, removed on drop.
struct LogFiles(Vec<PathBuf>);

impl LogFiles {
    fn write(test: &str, logs: &[(&str, &str)]) -> Self {
        let directory = std::env::temp_dir()
            .join(format!("sesame-history-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a temporary directory");
        let files = logs.iter().map(|(name, text)| {
            let path = directory.join(format!("{name}.log"));
            std::fs::write(&path, text).expect("a temporary file");
            path
        });
        Self(files.collect())
    }

    fn request(&self, id: &str) -> History {
        history::of_request(&self.0, id).expect("the logs can be read")
    }

    async fn run(&self, subject: &str, id: &str) -> (ExitStatus, String) {
        let mut arguments =
            vec!["explain".to_owned(), subject.to_owned(), id.to_owned()];
        for path in &self.0 {
            arguments.extend(["--log".to_owned(), path.display().to_string()]);
        }
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let command = options::parser()
            .run_inner(&*arguments)
            .expect("valid arguments");
        let report = commands::run(command).await.expect("the logs can be read");
        (report.exit_status, report.text)
    }
}

impl Drop for LogFiles {
    fn drop(&mut self) {
        if let Some(directory) = self.0[0].parent() {
            // A directory that can't be removed must not fail the test.
            let _ = std::fs::remove_dir_all(directory);
        }
    }
}

fn events(history: &History) -> Vec<&str> {
    history.lines.iter().map(|line| &*line.event).collect()
}

const ENTRY_ONE_LOG: &str = r#"
{"event":"setup_in_force","t_ms":1000,"version":4}
{"event":"order","action":"LoadAdapter(\"m1\", \"a2\")","t_ms":50400,"upstream":"i-1"}
{"event":"order","action":"LoadAdapter(\"m1\", \"a6\")","t_ms":51700,"upstream":"i-1"}
{"event":"request","id":"r-1","model":"m1/a6","outcome":"model_unavailable","ms":600,"t_ms":50900,"tries":[{"unpicked":"no_adapter"}]}
{"event":"request","id":"r-2","model":"m1/a6","outcome":"answered","ms":90,"t_ms":52000,"tries":[{"upstream":"i-1","outcome":"begun"}]}
{"event":"platform_lost","followed":"setup","t_ms":50500}
"#;

const ENTRY_TWO_LOG: &str = r#"
half a line
{"event":"move","load":"m2","unload":"m1","t_ms":45000,"upstream":"i-2"}
{"event":"suspended","ms":6280,"t_ms":50000,"token":null}
{"event":"platform_lost","followed":"setup","t_ms":50600}
{"event":"peer_lost","peer":"one","t_ms":90000}
"#;

/// A request waited for an adapter and was refused. Its history has the order
/// that came too late for it, the earlier move of its model, and the suspension
/// of the other entry. It lacks the order for another adapter, the other
/// entry's loss of its platform connection, and what happened long after.
#[test]
fn the_history_of_a_refused_request_has_the_orders_for_its_model() {
    let logs =
        LogFiles::write("refused", &[("one", ENTRY_ONE_LOG), ("two", ENTRY_TWO_LOG)]);
    let history = logs.request("r-1");
    let expected = ["move", "suspended", "platform_lost", "request", "order"];
    assert_eq!(events(&history), expected);
    assert_eq!(history.from_ms, 50_300);
    let lines = history.to_lines();
    assert!(lines[4].starts_with("  +1400 ms  one  order"), "{lines:?}");
    assert!(
        lines.contains(&"requests for m1/a6 within 5000 ms: answered 1".to_owned()),
        "{lines:?}"
    );
    assert!(
        lines.contains(&"1 lines could not be read".to_owned()),
        "{lines:?}"
    );
}

/// The outcome of a request is unknown. Its history has the avoidance of its
/// upstream, and counts the outcomes of other requests at that upstream at
/// about the same time.
#[test]
fn the_history_of_a_failed_request_has_its_upstream() {
    let log = r#"
{"event":"upstream_doubted","t_ms":10900,"upstream":"i-1","why":"silent"}
{"event":"upstream_doubted","t_ms":10950,"upstream":"i-2","why":"silent"}
{"event":"request","id":"r-1","outcome":"outcome_unknown","ms":1000,"t_ms":11000,"tries":[{"upstream":"i-1","outcome":"unknown"}]}
{"event":"request","id":"r-2","outcome":"answered","ms":90,"t_ms":12000,"tries":[{"upstream":"i-1","outcome":"whole"}]}
{"event":"request","id":"r-3","outcome":"answered","ms":90,"t_ms":17000,"tries":[{"upstream":"i-1","outcome":"whole"}]}
"#;
    let logs = LogFiles::write("failed", &[("one", log)]);
    let history = logs.request("r-1");
    assert_eq!(events(&history), ["upstream_doubted", "request"]);
    let lines = history.to_lines();
    assert!(
        lines.contains(&"requests at i-1 within 5000 ms: whole 1".to_owned()),
        "{lines:?}"
    );
}

/// Log collectors put a time and a machine name before each line.
#[test]
fn the_prefix_of_a_line_names_its_source() {
    let log = "  50.9000 entry-7 {\"event\":\"request\",\"id\":\"r-1\",\"t_ms\":5}\n";
    let logs = LogFiles::write("prefix", &[("all", log)]);
    let history = logs.request("r-1");
    assert_eq!(history.lines[0].source, "entry-7");
}

#[tokio::test]
async fn the_history_of_a_model_has_its_moves_and_request_outcomes() {
    let logs =
        LogFiles::write("model", &[("one", ENTRY_ONE_LOG), ("two", ENTRY_TWO_LOG)]);
    let (exit, text) = logs.run("model", "m1").await;
    assert_eq!(exit, ExitStatus::Ok);
    assert_eq!(text.matches("  order ").count(), 2, "{text}");
    assert!(text.contains("two  move load=m2 unload=m1"), "{text}");
    let counts = "requests for m1/a6: answered 1, model_unavailable 1";
    assert!(text.contains(counts), "{text}");
}

#[tokio::test]
async fn an_id_without_lines_is_an_error() {
    let logs = LogFiles::write("nobody", &[("one", ENTRY_ONE_LOG)]);
    let (exit, text) = logs.run("request", "r-99").await;
    assert_eq!(exit, ExitStatus::Invalid);
    assert_eq!(text, "no line names `r-99`\n");
}

/// Reading a log never panics, whatever bytes it contains.
#[test]
fn damaged_logs_are_read_to_the_end() {
    let whole = [ENTRY_ONE_LOG, ENTRY_TWO_LOG].concat();
    for cut in (0..whole.len()).step_by(7) {
        let mut bytes = whole.clone().into_bytes();
        bytes[cut] ^= 0x55;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let logs = LogFiles::write(&format!("damaged-{cut}"), &[("one", &text)]);
        let history = logs.request("r-1");
        assert!(
            history.unreadable_lines <= 3,
            "only damaged lines: {history:?}"
        );
    }
}
