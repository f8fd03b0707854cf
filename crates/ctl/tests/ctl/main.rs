//! Tests of the commands of `sesamectl`.

mod cli;
mod fake;
mod history;
mod losses;
mod members;
mod platform;
mod publish;
