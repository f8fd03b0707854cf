//! Tests of the decisions about single requests.

mod admission;
mod budgets;
mod choice;
mod health;
mod suspects;
