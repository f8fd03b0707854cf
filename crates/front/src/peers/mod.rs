//! What entries tell one another, by datagrams that state what holds now.
//!
//! A lost one is made good by the next, so nothing is acknowledged and no
//! connection has to be watched. [`tell`] writes them, [`hear`] reads them, and
//! [`register`] finds the other entries.

mod hear;
mod register;
mod tell;

pub(crate) use hear::hear;
pub(crate) use register::register;
pub(crate) use tell::{tell, tell_when_new};
