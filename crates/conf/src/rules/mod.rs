//! Rules beyond the schema: ranges, references and required keys.

mod bounds;
mod fleet;
mod models;
mod names;
mod process;
mod profiles;

pub(crate) use fleet::check_fleet;
pub(crate) use process::{check_agent_settings, check_entry_settings};
