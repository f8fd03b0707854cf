//! From where an entry that starts gets the state of the platform's objects.
//!
//! A list of all upstreams takes hundreds of kilobytes. When all entries start at once,
//! as after a loss of power, the platform's link is busy for seconds with sending the
//! same list to each of them. Instead, the entries of a failure domain form groups. One
//! entry of a group lists from the platform, and the others ask it.

/// Number of entries in a group. The entry that lists sends the state to the others,
/// which takes a fraction of a second on the smallest link.
const GROUP_ENTRIES: usize = 9;

/// The entries of a failure domain that an entry asks for the state when it starts, in
/// this order; none if it lists from the platform itself. `names` are all entries of
/// the failure domain in the platform's list, sorted.
///
/// The entry that lists for another group is a reserve: the one of the own group may be
/// gone although it is still in the platform's list.
pub fn start_sources<'a>(names: &'a [String], entry: &str) -> Vec<&'a str> {
    let Ok(index) = names.binary_search_by(|name| name.as_str().cmp(entry)) else {
        return Vec::new();
    };
    let group = index / GROUP_ENTRIES;
    if index == group * GROUP_ENTRIES {
        return Vec::new();
    }
    let groups = names.len().div_ceil(GROUP_ENTRIES);
    let first_of = |group: usize| names[group % groups * GROUP_ENTRIES].as_str();
    let mut sources = vec![first_of(group)];
    if groups > 1 {
        sources.push(first_of(group + 1));
    }
    sources
}
