//! The local replica of a replica group: a thread that owns its journal, and the handle to it.

mod handle;
mod worker;

pub(crate) use handle::{Handle, Job, MessageSender, Outcome, Status};
pub(crate) use worker::{Config, start};
