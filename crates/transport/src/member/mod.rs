//! Instances that find each other from a few addresses.
//!
//! On such a deployment no settings file lists the instances. Control instances hold the
//! registry; every instance sends them signs of life and gets back what it lacks. The
//! replicas of the journals are chosen among the instances that are present
//! (`coordination::membership`).

mod beats;
mod node;
mod operators;
mod register;
mod seat;
pub(crate) mod servers;
mod settings;

pub use node::Member;
pub use operators::{Retirement, Retiring};
pub(crate) use seat::PROGRAMS;
pub use settings::Settings;
