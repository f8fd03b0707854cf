//! Rules of meaning: ranges, references, and what must be given.

mod bounds;
mod fleet;
mod models;
mod names;
mod process;
mod profiles;

pub(crate) use fleet::fleet;
pub(crate) use process::{agent, entry};
