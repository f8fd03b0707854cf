//! Steps: what happens and what must have been seen.

use schema::timeline::EventKind;

use super::ScriptError;
use super::line::Words;
use super::value::{bounds, duration_ms, number, number32, ran, yes_no};
use crate::script::{Expect, PlatformFault, RequestDecl, UpstreamFault, Verb};

/// Units of a whole answer unless the script says otherwise.
const DEFAULT_UNITS: u32 = 10;

/// Reads what a step does.
pub(super) fn verb(words: &mut Words<'_>) -> Result<Verb, ScriptError> {
    let word = words.next("a verb")?;
    match word.text {
        "request" => request(words),
        "gone" => Ok(Verb::Gone {
            request: name(words)?,
        }),
        "kill" => Ok(Verb::Kill {
            process: name(words)?,
        }),
        "start" => Ok(Verb::Start {
            process: name(words)?,
        }),
        "freeze" => Ok(Verb::Freeze {
            process: name(words)?,
        }),
        "thaw" => Ok(Verb::Thaw {
            process: name(words)?,
        }),
        "replace" => Ok(Verb::Replace {
            process: name(words)?,
        }),
        "drain" => Ok(Verb::Drain {
            process: name(words)?,
        }),
        "cut" => Ok(Verb::Cut {
            a: name(words)?,
            b: name(words)?,
        }),
        "heal" => Ok(Verb::Heal {
            a: name(words)?,
            b: name(words)?,
        }),
        "break" => Ok(Verb::Break {
            a: name(words)?,
            b: name(words)?,
        }),
        "platform" => platform(words),
        "upstream" => upstream(words),
        "crash-on" => Ok(Verb::CrashOn { body: name(words)? }),
        "publish" => publish(words),
        "list-leaving" => Ok(Verb::ListLeaving {
            instance: name(words)?,
        }),
        "expect" => Ok(Verb::Expect(expect(words)?)),
        _ => Err(words.error(word, "unknown verb")),
    }
}

/// Processes that a step names.
pub(super) fn processes(verb: &Verb) -> Vec<&str> {
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
        Verb::Expect(expect) => expected_processes(expect),
        Verb::Gone { .. }
        | Verb::Platform(_)
        | Verb::CrashOn { .. }
        | Verb::Publish { .. } => Vec::new(),
    }
}

fn expected_processes(expect: &Expect) -> Vec<&str> {
    match expect {
        Expect::Handed { instance, .. } | Expect::Holds { instance, .. } => {
            vec![instance]
        }
        Expect::Ended { process } | Expect::Ready { process, .. } => vec![process],
        _ => Vec::new(),
    }
}

fn name(words: &mut Words<'_>) -> Result<String, ScriptError> {
    Ok(words.next("a name")?.text.to_owned())
}

/// A kind of event; a misspelt one would be counted as never seen.
fn event_kind(words: &mut Words<'_>) -> Result<String, ScriptError> {
    let word = words.next("a kind of event")?;
    let full = format!("EVENT_KIND_{}", word.text);
    if EventKind::from_str_name(&full).is_none() {
        return Err(words.error(word, "no such kind of event"));
    }
    Ok(word.text.to_owned())
}

fn request(words: &mut Words<'_>) -> Result<Verb, ScriptError> {
    let name = name(words)?;
    let text = |word: Option<super::line::Word<'_>>| word.map(|w| w.text.to_owned());
    let deadline_ms = match words.named("deadline") {
        Some(word) => Some(duration_ms(words, word)?),
        None => None,
    };
    let units = match words.named("units") {
        Some(word) => number32(words, word)?,
        None => DEFAULT_UNITS,
    };
    let request = RequestDecl {
        caller: words.needed("caller")?.text.to_owned(),
        entry: words.needed("entry")?.text.to_owned(),
        model: text(words.named("model")),
        service: text(words.named("service")),
        profile: text(words.named("profile")),
        key: text(words.named("key")),
        body: text(words.named("body")).unwrap_or_else(|| name.clone()),
        deadline_ms,
        units,
        name,
    };
    Ok(Verb::Request(request))
}

fn platform(words: &mut Words<'_>) -> Result<Verb, ScriptError> {
    let word = words.next("a fault")?;
    let fault = match word.text {
        "away" => PlatformFault::Away,
        "back" => PlatformFault::Back,
        "delay" => {
            let value = words.next("a time")?;
            PlatformFault::Delay {
                ms: duration_ms(words, value)?,
            }
        }
        "lose-answers" => PlatformFault::LoseAnswers {
            count: count(words)?,
        },
        "old-reads" => PlatformFault::OldReads {
            count: count(words)?,
        },
        "miss-watches" => PlatformFault::MissWatches,
        _ => return Err(words.error(word, "unknown fault of the platform")),
    };
    Ok(Verb::Platform(fault))
}

fn upstream(words: &mut Words<'_>) -> Result<Verb, ScriptError> {
    let instance = name(words)?;
    let word = words.next("a fault")?;
    let fault = match word.text {
        "crash" => {
            let value = words.needed("restart")?;
            UpstreamFault::Crash {
                restart_ms: duration_ms(words, value)?,
            }
        }
        "slow" => UpstreamFault::Slow {
            factor: factor(words)?,
        },
        "slow-loads" => UpstreamFault::SlowLoads {
            factor: factor(words)?,
        },
        "fail" => UpstreamFault::Fail {
            count: failures(words)?,
        },
        "lose-orders" => UpstreamFault::LoseOrders {
            count: count(words)?,
        },
        "delay-orders" => {
            let value = words.needed("by")?;
            UpstreamFault::DelayOrders {
                by_ms: duration_ms(words, value)?,
                count: count(words)?,
            }
        }
        _ => return Err(words.error(word, "unknown fault of an upstream")),
    };
    Ok(Verb::Upstream { instance, fault })
}

/// `on`, `off` or a number of requests.
fn failures(words: &mut Words<'_>) -> Result<u32, ScriptError> {
    if words.flag("on") {
        return Ok(u32::MAX);
    }
    if words.flag("off") {
        return Ok(0);
    }
    count(words)
}

fn count(words: &mut Words<'_>) -> Result<u32, ScriptError> {
    let word = words.needed("count")?;
    number32(words, word)
}

fn factor(words: &mut Words<'_>) -> Result<u32, ScriptError> {
    let word = words.needed("factor")?;
    number32(words, word)
}

fn publish(words: &mut Words<'_>) -> Result<Verb, ScriptError> {
    let word = words.needed("revision")?;
    let revision = number(words, word)?;
    let patch = words.needed("patch")?.text.to_owned();
    Ok(Verb::Publish { revision, patch })
}

fn expect(words: &mut Words<'_>) -> Result<Expect, ScriptError> {
    let word = words.next("an expectation")?;
    let expect = match word.text {
        "whole" => Expect::Whole {
            request: name(words)?,
        },
        "failed" => failed(words)?,
        "final" => Expect::Final {
            request: name(words)?,
        },
        "pending" => Expect::Pending {
            request: name(words)?,
        },
        "runs" => Expect::Runs {
            body: name(words)?,
            bounds: bounds(words)?,
        },
        "handed" => Expect::Handed {
            instance: name(words)?,
            bounds: bounds(words)?,
        },
        "crashes" => Expect::Crashes {
            bounds: bounds(words)?,
        },
        "event" => Expect::Event {
            kind: event_kind(words)?,
            bounds: bounds(words)?,
        },
        "revision" => {
            let value = words.next("a revision")?;
            Expect::Revision {
                revision: number(words, value)?,
            }
        }
        "first-unit" => {
            let request = name(words)?;
            let value = words.needed("max")?;
            Expect::FirstUnit {
                request,
                max_ms: duration_ms(words, value)?,
            }
        }
        "ended" => Expect::Ended {
            process: name(words)?,
        },
        "ready" => ready(words)?,
        "holds" => holds(words)?,
        _ => return Err(words.error(word, "unknown expectation")),
    };
    Ok(expect)
}

fn failed(words: &mut Words<'_>) -> Result<Expect, ScriptError> {
    let request = name(words)?;
    let code = words.named("code");
    if let Some(word) = code {
        let known = base::ErrorCode::ALL
            .iter()
            .any(|code| code.name() == word.text);
        if !known {
            return Err(words.error(word, "no such code"));
        }
    }
    let said = match words.named("ran") {
        Some(word) => Some(ran(words, word)?),
        None => None,
    };
    Ok(Expect::Failed {
        request,
        code: code.map(|word| word.text.to_owned()),
        ran: said,
    })
}

fn ready(words: &mut Words<'_>) -> Result<Expect, ScriptError> {
    let process = name(words)?;
    let word = words.next("`yes` or `no`")?;
    Ok(Expect::Ready {
        process,
        ready: yes_no(words, word)?,
    })
}

fn holds(words: &mut Words<'_>) -> Result<Expect, ScriptError> {
    let instance = name(words)?;
    let model = words.needed("model")?.text.to_owned();
    let held = match words.named("held") {
        Some(word) => yes_no(words, word)?,
        None => true,
    };
    Ok(Expect::Holds {
        instance,
        model,
        held,
    })
}
