//! UDP messages between entries, each of which states the sender's current
//! view.
//!
//! A lost message is made up for by the next one, so nothing is acknowledged
//! and there are no connections to monitor. [`announce_periodically`] sends
//! messages, [`receive`] handles them, and [`register`] finds the other
//! entries.

mod announce;
mod contents;
mod introduction;
mod message;
mod message_parts;
mod receive;
mod register;
mod relay;

pub(crate) use announce::{announce_changes, announce_periodically, announce_watches};
pub(crate) use receive::receive;
pub(crate) use register::register;
pub(crate) use relay::PeerRelays;
