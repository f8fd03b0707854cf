//! Tests of the operators' commands.

mod cli;
mod fake;
mod members;
mod platform;
mod publish;
mod trail;
