//! What logs tell of a request or a model.

use ctl::trail::{self, Trail};
use ctl::{Exit, commands, options};
use std::path::PathBuf;

/// Files with logs; they are removed with it.
struct Logs(Vec<PathBuf>);

impl Logs {
    fn write(test: &str, logs: &[(&str, &str)]) -> Self {
        let folder = std::env::temp_dir()
            .join(format!("sesame-trail-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let files = logs.iter().map(|(name, text)| {
            let path = folder.join(format!("{name}.log"));
            std::fs::write(&path, text).expect("a temporary file");
            path
        });
        Self(files.collect())
    }

    fn request(&self, id: &str) -> Trail {
        trail::request(&self.0, id).expect("the logs can be read")
    }

    async fn run(&self, subject: &str, id: &str) -> (Exit, String) {
        let mut words = vec!["explain".to_owned(), subject.to_owned(), id.to_owned()];
        for path in &self.0 {
            words.extend(["--log".to_owned(), path.display().to_string()]);
        }
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let command = options::parser().run_inner(&*words).expect("it is valid");
        let report = commands::run(command).await.expect("the logs can be read");
        (report.exit, report.text)
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        if let Some(folder) = self.0[0].parent() {
            // A folder that stays is no fault of the test.
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}

fn events(trail: &Trail) -> Vec<&str> {
    trail.lines.iter().map(|line| &*line.event).collect()
}

const ONE: &str = r#"
{"event":"setup_in_force","t_ms":1000,"version":4}
{"event":"order","action":"LoadAdapter(\"m1\", \"a2\")","t_ms":50400,"upstream":"i-1"}
{"event":"order","action":"LoadAdapter(\"m1\", \"a6\")","t_ms":51700,"upstream":"i-1"}
{"event":"request","id":"r-1","model":"m1/a6","outcome":"model_unavailable","ms":600,"t_ms":50900,"tries":[{"unpicked":"no_adapter"}]}
{"event":"request","id":"r-2","model":"m1/a6","outcome":"answered","ms":90,"t_ms":52000,"tries":[{"upstream":"i-1","outcome":"begun"}]}
{"event":"platform_lost","followed":"setup","t_ms":50500}
"#;

const TWO: &str = r#"
half a line
{"event":"move","load":"m2","unload":"m1","t_ms":45000,"upstream":"i-2"}
{"event":"suspended","ms":6280,"t_ms":50000,"token":null}
{"event":"platform_lost","followed":"setup","t_ms":50600}
{"event":"peer_lost","peer":"one","t_ms":90000}
"#;

/// A request waited for an adapter and was refused. Its trail has the order that
/// came too late for it, what moved its model before, and that the other entry
/// was suspended; not the other adapter's order, nor what the other entry's own
/// trouble was, nor what came long after.
#[test]
fn a_refused_request_is_told_with_the_orders_for_its_model() {
    let logs = Logs::write("refused", &[("one", ONE), ("two", TWO)]);
    let trail = logs.request("r-1");
    let expected = ["move", "suspended", "platform_lost", "request", "order"];
    assert_eq!(events(&trail), expected);
    assert_eq!(trail.from_ms, 50_300);
    let told = trail.told();
    assert!(told[4].starts_with("  +1400 ms  one  order"), "{told:?}");
    assert!(
        told.contains(&"requests for m1/a6 within 5000 ms: answered 1".to_owned()),
        "{told:?}"
    );
    assert!(
        told.contains(&"1 lines could not be read".to_owned()),
        "{told:?}"
    );
}

/// An answer was lost. The trail has the doubt about its upstream, and how other
/// requests fared there at that time.
#[test]
fn a_failed_request_is_told_with_its_upstream() {
    let log = r#"
{"event":"upstream_doubted","t_ms":10900,"upstream":"i-1","why":"silent"}
{"event":"upstream_doubted","t_ms":10950,"upstream":"i-2","why":"silent"}
{"event":"request","id":"r-1","outcome":"outcome_unknown","ms":1000,"t_ms":11000,"tries":[{"upstream":"i-1","outcome":"unknown"}]}
{"event":"request","id":"r-2","outcome":"answered","ms":90,"t_ms":12000,"tries":[{"upstream":"i-1","outcome":"whole"}]}
{"event":"request","id":"r-3","outcome":"answered","ms":90,"t_ms":17000,"tries":[{"upstream":"i-1","outcome":"whole"}]}
"#;
    let logs = Logs::write("failed", &[("one", log)]);
    let trail = logs.request("r-1");
    assert_eq!(events(&trail), ["upstream_doubted", "request"]);
    let told = trail.told();
    assert!(
        told.contains(&"requests at i-1 within 5000 ms: whole 1".to_owned()),
        "{told:?}"
    );
}

/// Collectors put time and machine before each line.
#[test]
fn what_stands_before_a_line_names_its_source() {
    let log = "  50.9000 entry-7 {\"event\":\"request\",\"id\":\"r-1\",\"t_ms\":5}\n";
    let logs = Logs::write("prefix", &[("all", log)]);
    let trail = logs.request("r-1");
    assert_eq!(trail.lines[0].source, "entry-7");
}

#[tokio::test]
async fn a_model_is_told_with_its_moves_and_how_its_requests_ended() {
    let logs = Logs::write("model", &[("one", ONE), ("two", TWO)]);
    let (exit, text) = logs.run("model", "m1").await;
    assert_eq!(exit, Exit::Ok);
    assert_eq!(text.matches("  order ").count(), 2, "{text}");
    assert!(text.contains("two  move load=m2 unload=m1"), "{text}");
    let others = "requests for m1/a6: answered 1, model_unavailable 1";
    assert!(text.contains(others), "{text}");
}

#[tokio::test]
async fn an_id_that_no_line_names_is_no_success() {
    let logs = Logs::write("nobody", &[("one", ONE)]);
    let (exit, text) = logs.run("request", "r-99").await;
    assert_eq!(exit, Exit::Faults);
    assert_eq!(text, "no line names `r-99`\n");
}

/// Whatever a log holds, reading it ends without a panic.
#[test]
fn damaged_logs_are_read_to_their_end() {
    let whole = [ONE, TWO].concat();
    for cut in (0..whole.len()).step_by(7) {
        let mut bytes = whole.clone().into_bytes();
        bytes[cut] ^= 0x55;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let logs = Logs::write(&format!("damaged-{cut}"), &[("one", &text)]);
        let trail = logs.request("r-1");
        assert!(trail.unread <= 3, "at most what was damaged: {trail:?}");
    }
}
