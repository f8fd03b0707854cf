//! Steps: the statements that inject events or state expectations.

use schema::timeline::EventKind;

use super::ScriptError;
use super::line::Words;
use super::value::{
    parse_bounds, parse_duration_ms, parse_number, parse_number_u32, parse_run_status,
    parse_yes_no,
};
use crate::script::{Expectation, PlatformFault, RequestDecl, UpstreamFault, Verb};

/// Tokens of a complete answer if the script does not state a number.
const DEFAULT_UNITS: u32 = 10;

/// Parses the part of a step after its time.
pub(super) fn parse_verb(words: &mut Words<'_>) -> Result<Verb, ScriptError> {
    let word = words.next_word("a verb")?;
    match word.text {
        "request" => parse_request(words),
        "gone" => Ok(Verb::Gone {
            request: parse_name(words)?,
        }),
        "kill" => Ok(Verb::Kill {
            process: parse_name(words)?,
        }),
        "start" => Ok(Verb::Start {
            process: parse_name(words)?,
        }),
        "freeze" => Ok(Verb::Freeze {
            process: parse_name(words)?,
        }),
        "thaw" => Ok(Verb::Thaw {
            process: parse_name(words)?,
        }),
        "replace" => Ok(Verb::Replace {
            process: parse_name(words)?,
        }),
        "drain" => Ok(Verb::Drain {
            process: parse_name(words)?,
        }),
        "cut" => Ok(Verb::Cut {
            a: parse_name(words)?,
            b: parse_name(words)?,
        }),
        "heal" => Ok(Verb::Heal {
            a: parse_name(words)?,
            b: parse_name(words)?,
        }),
        "break" => Ok(Verb::Break {
            a: parse_name(words)?,
            b: parse_name(words)?,
        }),
        "platform" => parse_platform_fault(words),
        "upstream" => parse_upstream_fault(words),
        "crash-on" => Ok(Verb::CrashOn {
            body: parse_name(words)?,
        }),
        "publish" => parse_publish(words),
        "list-leaving" => Ok(Verb::ListLeaving {
            instance: parse_name(words)?,
        }),
        "expect" => Ok(Verb::Expect(parse_expectation(words)?)),
        _ => Err(words.error(word, "unknown verb")),
    }
}

/// Returns the processes that a step refers to.
pub(super) fn referenced_processes(verb: &Verb) -> Vec<&str> {
    match verb {
        Verb::Request(request) => vec![&request.entry],
        Verb::Kill { process }
        | Verb::Start { process }
        | Verb::Freeze { process }
        | Verb::Thaw { process }
        | Verb::Replace { process }
        | Verb::Drain { process } => vec![process],
        Verb::Cut { a, b } | Verb::Heal { a, b } | Verb::Break { a, b } => vec![a, b],
        Verb::Upstream { instance, .. } | Verb::ListLeaving { instance } => {
            vec![instance]
        }
        Verb::Expect(expect) => processes_in_expectation(expect),
        Verb::Gone { .. }
        | Verb::Platform(_)
        | Verb::CrashOn { .. }
        | Verb::Publish { .. } => Vec::new(),
    }
}

fn processes_in_expectation(expect: &Expectation) -> Vec<&str> {
    match expect {
        Expectation::Handed { instance, .. } | Expectation::Holds { instance, .. } => {
            vec![instance]
        }
        Expectation::Ended { process } | Expectation::Ready { process, .. } => {
            vec![process]
        }
        _ => Vec::new(),
    }
}

fn parse_name(words: &mut Words<'_>) -> Result<String, ScriptError> {
    Ok(words.next_word("a name")?.text.to_owned())
}

/// Parses a kind of timeline event.
///
/// A misspelt kind is an error, since its count would always be zero.
fn parse_event_kind(words: &mut Words<'_>) -> Result<String, ScriptError> {
    let word = words.next_word("a kind of event")?;
    let full = format!("EVENT_KIND_{}", word.text);
    if EventKind::from_str_name(&full).is_none() {
        return Err(words.error(word, "no such kind of event"));
    }
    Ok(word.text.to_owned())
}

fn parse_request(words: &mut Words<'_>) -> Result<Verb, ScriptError> {
    let name = parse_name(words)?;
    let text = |word: Option<super::line::Word<'_>>| word.map(|w| w.text.to_owned());
    let deadline_ms = match words.optional_value("deadline") {
        Some(word) => Some(parse_duration_ms(words, word)?),
        None => None,
    };
    let units = match words.optional_value("units") {
        Some(word) => parse_number_u32(words, word)?,
        None => DEFAULT_UNITS,
    };
    let request = RequestDecl {
        caller: words.required_value("caller")?.text.to_owned(),
        entry: words.required_value("entry")?.text.to_owned(),
        model: text(words.optional_value("model")),
        service: text(words.optional_value("service")),
        profile: text(words.optional_value("profile")),
        key: text(words.optional_value("key")),
        body: text(words.optional_value("body")).unwrap_or_else(|| name.clone()),
        deadline_ms,
        units,
        name,
    };
    Ok(Verb::Request(request))
}

fn parse_platform_fault(words: &mut Words<'_>) -> Result<Verb, ScriptError> {
    let word = words.next_word("a fault")?;
    let fault = match word.text {
        "away" => PlatformFault::Away,
        "back" => PlatformFault::Back,
        "delay" => {
            let value = words.next_word("a time")?;
            PlatformFault::Delay {
                ms: parse_duration_ms(words, value)?,
            }
        }
        "lose-answers" => PlatformFault::LoseAnswers {
            count: parse_count(words)?,
        },
        "old-reads" => PlatformFault::OldReads {
            count: parse_count(words)?,
        },
        "miss-watches" => PlatformFault::MissWatches,
        _ => return Err(words.error(word, "unknown fault of the platform")),
    };
    Ok(Verb::Platform(fault))
}

fn parse_upstream_fault(words: &mut Words<'_>) -> Result<Verb, ScriptError> {
    let instance = parse_name(words)?;
    let word = words.next_word("a fault")?;
    let fault = match word.text {
        "crash" => {
            let value = words.required_value("restart")?;
            UpstreamFault::Crash {
                restart_ms: parse_duration_ms(words, value)?,
            }
        }
        "slow" => UpstreamFault::Slow {
            factor: parse_factor(words)?,
        },
        "slow-loads" => UpstreamFault::SlowLoads {
            factor: parse_factor(words)?,
        },
        "fail" => UpstreamFault::Fail {
            count: parse_failure_count(words)?,
        },
        "lose-orders" => UpstreamFault::LoseOrders {
            count: parse_count(words)?,
        },
        "delay-orders" => {
            let value = words.required_value("by")?;
            UpstreamFault::DelayOrders {
                by_ms: parse_duration_ms(words, value)?,
                count: parse_count(words)?,
            }
        }
        _ => return Err(words.error(word, "unknown fault of an upstream")),
    };
    Ok(Verb::Upstream { instance, fault })
}

/// Parses `on`, `off` or a number of requests.
fn parse_failure_count(words: &mut Words<'_>) -> Result<u32, ScriptError> {
    if words.take_if("on") {
        return Ok(u32::MAX);
    }
    if words.take_if("off") {
        return Ok(0);
    }
    parse_count(words)
}

fn parse_count(words: &mut Words<'_>) -> Result<u32, ScriptError> {
    let word = words.required_value("count")?;
    parse_number_u32(words, word)
}

fn parse_factor(words: &mut Words<'_>) -> Result<u32, ScriptError> {
    let word = words.required_value("factor")?;
    parse_number_u32(words, word)
}

fn parse_publish(words: &mut Words<'_>) -> Result<Verb, ScriptError> {
    let word = words.required_value("revision")?;
    let revision = parse_number(words, word)?;
    let patch = words.required_value("patch")?.text.to_owned();
    Ok(Verb::Publish { revision, patch })
}

fn parse_expectation(words: &mut Words<'_>) -> Result<Expectation, ScriptError> {
    let word = words.next_word("an expectation")?;
    let expect = match word.text {
        "whole" => Expectation::Whole {
            request: parse_name(words)?,
        },
        "failed" => parse_failed(words)?,
        "final" => Expectation::Final {
            request: parse_name(words)?,
        },
        "pending" => Expectation::Pending {
            request: parse_name(words)?,
        },
        "runs" => Expectation::Runs {
            body: parse_name(words)?,
            bounds: parse_bounds(words)?,
        },
        "handed" => Expectation::Handed {
            instance: parse_name(words)?,
            bounds: parse_bounds(words)?,
        },
        "crashes" => Expectation::Crashes {
            bounds: parse_bounds(words)?,
        },
        "event" => Expectation::Event {
            kind: parse_event_kind(words)?,
            bounds: parse_bounds(words)?,
        },
        "revision" => {
            let value = words.next_word("a revision")?;
            Expectation::Revision {
                revision: parse_number(words, value)?,
            }
        }
        "first-unit" => {
            let request = parse_name(words)?;
            let value = words.required_value("max")?;
            Expectation::FirstUnit {
                request,
                max_ms: parse_duration_ms(words, value)?,
            }
        }
        "ended" => Expectation::Ended {
            process: parse_name(words)?,
        },
        "ready" => parse_ready(words)?,
        "holds" => parse_holds(words)?,
        _ => return Err(words.error(word, "unknown expectation")),
    };
    Ok(expect)
}

fn parse_failed(words: &mut Words<'_>) -> Result<Expectation, ScriptError> {
    let request = parse_name(words)?;
    let code = words.optional_value("code");
    if let Some(word) = code {
        let known = base::ErrorCode::ALL
            .iter()
            .any(|code| code.name() == word.text);
        if !known {
            return Err(words.error(word, "no such code"));
        }
    }
    let run_status = match words.optional_value("ran") {
        Some(word) => Some(parse_run_status(words, word)?),
        None => None,
    };
    Ok(Expectation::Failed {
        request,
        code: code.map(|word| word.text.to_owned()),
        ran: run_status,
    })
}

fn parse_ready(words: &mut Words<'_>) -> Result<Expectation, ScriptError> {
    let process = parse_name(words)?;
    let word = words.next_word("`yes` or `no`")?;
    Ok(Expectation::Ready {
        process,
        ready: parse_yes_no(words, word)?,
    })
}

fn parse_holds(words: &mut Words<'_>) -> Result<Expectation, ScriptError> {
    let instance = parse_name(words)?;
    let model = words.required_value("model")?.text.to_owned();
    let held = match words.optional_value("held") {
        Some(word) => parse_yes_no(words, word)?,
        None => true,
    };
    Ok(Expectation::Holds {
        instance,
        model,
        held,
    })
}
