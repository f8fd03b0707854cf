//! `explain`: why a model is where it is, or what became of a request.

use serde::Serialize;

use super::reach;
use super::timeline::{Query, gather, percent_encode};
use crate::members::{Target, ask_all};
use crate::options::{ExplainOptions, Subject};
use crate::{CtlError, Exit, Report, trail};

/// What one process knows.
#[derive(Debug, Serialize)]
struct Explanation {
    process: String,
    sentences: Vec<String>,
}

/// Explains a model or a request.
pub(super) async fn run(options: &ExplainOptions) -> Result<Report, CtlError> {
    if !options.log.is_empty() {
        return logs(options);
    }
    let targets = reach(&options.reach).await?;
    match options.subject {
        Subject::Model => Ok(model(&targets, options).await),
        Subject::Request => {
            let query = Query {
                request: Some(&options.id),
                ..Query::default()
            };
            Ok(gather(&targets, &query).await.report(options.json))
        }
    }
}

/// Tells what logs have of the subject. A subject that no line names is most
/// likely in a log that was not given, so that is no success.
fn logs(options: &ExplainOptions) -> Result<Report, CtlError> {
    let trail = match options.subject {
        Subject::Model => trail::model(&options.log, &options.id)?,
        Subject::Request => trail::request(&options.log, &options.id)?,
    };
    if trail.lines.is_empty() && trail.others.is_empty() {
        let none = format!("no line names `{}`", options.id);
        return Ok(Report::lines([none], Exit::Faults));
    }
    if options.json {
        return Ok(Report::json(&trail.lines, Exit::Ok));
    }
    Ok(Report::lines(trail.told(), Exit::Ok))
}

/// Asks all processes; each tells what it knows itself, so only an answer by
/// nobody is a failure.
async fn model(targets: &[Target], options: &ExplainOptions) -> Report {
    let path = format!("/explain?model={}", percent_encode(&options.id));
    let answers = ask_all::<Vec<String>>(targets, &path).await;
    let told: Vec<_> = answers
        .into_iter()
        .filter_map(|(target, answer)| {
            Some(Explanation {
                process: target.id.unwrap_or_else(|| target.address.to_string()),
                sentences: answer.ok()?,
            })
        })
        .collect();
    let exit = if told.is_empty() {
        Exit::Unreachable
    } else {
        Exit::Ok
    };
    if options.json {
        return Report::json(&told, exit);
    }
    if told.is_empty() {
        return Report::lines(["no process explained the model".to_owned()], exit);
    }
    let lines = told.iter().flat_map(|told| {
        let sentences = told.sentences.iter();
        let sentences = sentences.map(|sentence| format!("  {sentence}"));
        std::iter::once(format!("{}:", told.process)).chain(sentences)
    });
    Report::lines(lines, exit)
}
