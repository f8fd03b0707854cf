//! The command `explain`: why a model is where it is, or what became of a
//! request.

use serde::Serialize;

use super::find_processes;
use super::timeline::{TimelineQuery, collect_timeline, percent_encode};
use crate::members::{ProcessEndpoint, get_json_from_all};
use crate::options::{ExplainOptions, ExplainSubject};
use crate::{CtlError, ExitStatus, Report, history};

/// What one process says about a model.
#[derive(Debug, Serialize)]
struct ProcessExplanation {
    process: String,
    sentences: Vec<String>,
}

/// Explains a model or a request, from log files if any are given, otherwise by
/// asking the processes.
pub(super) async fn run(options: &ExplainOptions) -> Result<Report, CtlError> {
    if !options.log.is_empty() {
        return explain_from_logs(options);
    }
    let processes = find_processes(&options.processes).await?;
    match options.subject {
        ExplainSubject::Model => Ok(explain_model(&processes, options).await),
        ExplainSubject::Request => {
            let query = TimelineQuery {
                request: Some(&options.id),
                ..TimelineQuery::default()
            };
            Ok(collect_timeline(&processes, &query)
                .await
                .report(options.json))
        }
    }
}

/// Explains the subject from log files. If no line names the subject, its log
/// was most likely not among the given ones, so the command does not succeed.
fn explain_from_logs(options: &ExplainOptions) -> Result<Report, CtlError> {
    let found = match options.subject {
        ExplainSubject::Model => history::of_model(&options.log, &options.id)?,
        ExplainSubject::Request => history::of_request(&options.log, &options.id)?,
    };
    if found.lines.is_empty() && found.other_requests.is_empty() {
        let message = format!("no line names `{}`", options.id);
        return Ok(Report::lines([message], ExitStatus::Invalid));
    }
    if options.json {
        return Ok(Report::json(&found.lines, ExitStatus::Ok));
    }
    Ok(Report::lines(found.to_lines(), ExitStatus::Ok))
}

/// Asks all processes. Each explains what it knows itself, so the command fails
/// only if none sends an explanation.
async fn explain_model(
    processes: &[ProcessEndpoint],
    options: &ExplainOptions,
) -> Report {
    let path = format!("/explain?model={}", percent_encode(&options.id));
    let responses = get_json_from_all::<Vec<String>>(processes, &path).await;
    let explanations: Vec<_> = responses
        .into_iter()
        .filter_map(|(process, response)| {
            Some(ProcessExplanation {
                process: process.id.unwrap_or_else(|| process.address.to_string()),
                sentences: response.ok()?,
            })
        })
        .collect();
    let exit_status = if explanations.is_empty() {
        ExitStatus::Unreachable
    } else {
        ExitStatus::Ok
    };
    if options.json {
        return Report::json(&explanations, exit_status);
    }
    if explanations.is_empty() {
        return Report::lines(
            ["no process explained the model".to_owned()],
            exit_status,
        );
    }
    let lines = explanations.iter().flat_map(|explanation| {
        let sentences = explanation.sentences.iter();
        let sentences = sentences.map(|sentence| format!("  {sentence}"));
        std::iter::once(format!("{}:", explanation.process)).chain(sentences)
    });
    Report::lines(lines, exit_status)
}
