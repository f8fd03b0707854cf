//! Tests of the operators' commands.

mod cli;
mod fake;
mod losses;
mod members;
mod platform;
mod publish;
mod trail;
