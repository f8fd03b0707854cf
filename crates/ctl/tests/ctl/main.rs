//! Tests of the commands of `sesamectl`.

mod cli;
mod fake;
mod losses;
mod members;
mod platform;
mod publish;
mod trail;
