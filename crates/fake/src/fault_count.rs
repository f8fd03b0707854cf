//! Faults that apply to a limited number of requests.

/// Decrements `left`, the number of requests that a fault still applies to. Returns
/// whether the fault applies to this request.
pub(crate) fn consume(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}
