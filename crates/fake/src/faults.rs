//! Faults that count down.

/// Takes one from a count of faults to come.
pub(crate) fn take(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}
