//! Which crashes the parts of one request may have caused.

use base::prelude::*;
use std::collections::BTreeMap;

use crate::part_record::{CRASHES_TO_REFUSE, PartRecord};
use crate::suspect_parts::PromptPart;

/// Number of parts that would all have to crash upstreams, outside a request, from which on
/// the cause is rather a part of the request that was there each time.
const CAUSES_MAX: usize = 4;

/// Whether the crashes that count against a request's parts may have causes outside the
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribution {
    /// One part of other requests was there at each of the crashes. If the crashes have
    /// one cause, it may be that part.
    OneOther,
    /// Each crash may have a cause outside the request, but it takes two or three parts to
    /// explain them all: several parts crash upstreams, or the request has the cause.
    SeveralOthers,
    /// The same, but the request has another part on which no answer is known, or the only
    /// possible cause of one crash. It is a worse probe than one of suspects alone.
    Doubtful,
    /// Two crashes or more have no possible cause outside the request, or it takes four
    /// parts or more to explain them all.
    OwnParts,
}

impl Attribution {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OneOther => "one_other",
            Self::SeveralOthers => "several_others",
            Self::Doubtful => "doubtful",
            Self::OwnParts => "own_parts",
        }
    }
}

/// The parts for which a request may have to be refused.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct SuspectsOfRequest {
    /// The parts of the request that may be the cause of two crashes or more; never empty.
    pub(crate) parts: Vec<PromptPart>,
    /// What else may be the cause.
    pub(crate) attribution: Attribution,
}

/// A part with its evidence.
type Evidence<'a> = (&'a PromptPart, &'a PartRecord);

/// Returns the suspects among a request's parts and what else may be the cause of their
/// crashes; `None` if the request has no suspect.
///
/// The possible causes of a crash are the parts that were there, except those on which
/// more answers began than on another one of them.
pub(crate) fn attribute(
    now: Instant,
    records: &BTreeMap<PromptPart, PartRecord>,
    parts: &[PromptPart],
    is_answered: impl Fn(&PromptPart) -> bool,
) -> Option<SuspectsOfRequest> {
    let accused: Vec<Evidence<'_>> = parts
        .iter()
        .filter_map(|part| records.get_key_value(part))
        .filter(|(_, record)| now < record.expires_at && record.is_refused())
        .collect();
    if accused.is_empty() {
        return None;
    }
    let involved: Vec<Evidence<'_>> = records
        .iter()
        .filter(|(_, record)| {
            now < record.expires_at && accused.iter().any(|(_, own)| record.meets(own))
        })
        .collect();
    let suspects: Vec<Evidence<'_>> = accused
        .into_iter()
        .filter(|own| is_suspect(*own, &involved))
        .collect();
    if suspects.is_empty() {
        return None;
    }
    let others: Vec<Evidence<'_>> = involved
        .into_iter()
        .filter(|(part, _)| !parts.contains(part))
        .collect();
    let attribution = attribution(&suspects, &others);
    let suspects: Vec<PromptPart> =
        suspects.into_iter().map(|(part, _)| part.clone()).collect();
    let mut further = parts.iter().filter(|part| !suspects.contains(part));
    let is_doubtful = attribution == Attribution::SeveralOthers
        && further.any(|part| !is_answered(part));
    Some(SuspectsOfRequest {
        parts: suspects,
        attribution: if is_doubtful {
            Attribution::Doubtful
        } else {
            attribution
        },
    })
}

/// Whether a part may be the cause of enough crashes for its answers, and no other part
/// that has as few answers was there at all of them and at more.
fn is_suspect(own: Evidence<'_>, involved: &[Evidence<'_>]) -> bool {
    let (part, record) = own;
    let others = || involved.iter().filter(|(other, _)| *other != part);
    let may_be_cause = |crash: &&u64| {
        let mut others = others();
        !others.any(|(_, other)| {
            other.crashes.contains(*crash) && other.answers.len() < record.answers.len()
        })
    };
    let crashes = record.crashes.iter().filter(may_be_cause).count();
    let is_surpassed = others().any(|(_, other)| {
        other.is_refused()
            && other.answers.len() <= record.answers.len()
            && other.crashes.len() > record.crashes.len()
            && other.explains_all(record)
    });
    record.outweighs_answers(crashes) && !is_surpassed
}

fn attribution(suspects: &[Evidence<'_>], others: &[Evidence<'_>]) -> Attribution {
    let mut crashes: Vec<u64> = suspects
        .iter()
        .flat_map(|(_, own)| own.crashes.iter().copied())
        .collect();
    crashes.sort_unstable();
    crashes.dedup();
    let may_cause = |other: &PartRecord, crash: u64| {
        let mut met = suspects
            .iter()
            .filter(|(_, own)| own.crashes.contains(&crash));
        other.may_have_met(crash)
            && met.all(|(_, own)| other.answers.len() <= own.answers.len())
    };
    let explained_by = |(_, other): &Evidence<'_>| -> Vec<u64> {
        let explained = crashes.iter().filter(|crash| may_cause(other, **crash));
        explained.copied().collect()
    };
    let explained: Vec<Vec<u64>> = others.iter().map(explained_by).collect();
    let (causes, unexplained) = smallest_cover(&crashes, &explained);
    match (causes, unexplained) {
        (1, 0) => Attribution::OneOther,
        (CAUSES_MAX.., _) | (_, CRASHES_TO_REFUSE..) => Attribution::OwnParts,
        (_, 0) => Attribution::SeveralOthers,
        _ => Attribution::Doubtful,
    }
}

/// Returns how many of the sets it takes to cover the crashes, by taking the largest one
/// again and again, and how many crashes none of them covers.
fn smallest_cover(crashes: &[u64], sets: &[Vec<u64>]) -> (usize, usize) {
    let mut uncovered = crashes.to_vec();
    let mut taken = 0;
    loop {
        let covers = |set: &&Vec<u64>| {
            let covered = uncovered.iter().filter(|crash| set.contains(crash));
            covered.count()
        };
        let largest = sets.iter().max_by_key(covers);
        let Some(largest) = largest.filter(|set| covers(set) > 0) else {
            return (taken, uncovered.len());
        };
        uncovered.retain(|crash| !largest.contains(crash));
        taken += 1;
    }
}
