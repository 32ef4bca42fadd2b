//! The data folder and the replica of one instance.

use crate::clock::Clock;
use crate::replica::{self, Handle, Post};
use crate::storage::{Folder, Identity, Opened};
use coordination::consensus::{self, Members, initial_id};
use coordination::membership::{self, Planner};
use rand::Rng;
use state::error::Storage;
use state::machine::StateMachine;
use state::registry::{Registry, Voter};
use state::turn::Turns;
use std::path::Path;
use std::sync::Arc;

use crate::member::Settings;

/// Journal of the registry.
pub(crate) const CONTROL: u32 = protocol::wire::CONTROL_GROUP;

/// Journal of turns.
pub(crate) const PROGRAMS: u32 = 1;

/// A data folder whose replica is not running yet.
pub(crate) struct Seat {
    group: u32,
    folder: Folder,
    pub(crate) identity: Identity,
    opened: Opened,
}

impl Seat {
    /// Opens the folder of an instance; a damaged one is set aside and replaced.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk.
    pub(crate) fn open(group: u32, path: &Path) -> Result<Self, Storage> {
        let folder = Folder::open(path)?;
        let make = |path: &Path| new_machine(group, path);
        if let Some(identity) = folder.identity()? {
            match folder.open_group(group, make) {
                Ok(opened) => return Ok(Self { group, folder, identity, opened }),
                Err(error @ Storage::Corrupt { .. }) => {
                    tracing::error!(%error, "data folder is set aside; joining again");
                    folder.set_aside()?;
                }
                Err(error) => return Err(error),
            }
        }
        let identity = Identity::fresh();
        let opened = folder.open_group(group, make)?;
        folder.write_identity(&identity)?;
        tracing::info!(group, id = identity.id, "new data folder");
        Ok(Self { group, folder, identity, opened })
    }

    /// Whether the replica has nothing and founds nothing, so that it must be told how to
    /// start.
    pub(crate) fn is_blank(&self) -> bool {
        let restored = &self.opened.restored;
        self.identity.founders.voters.is_empty()
            && restored.hard_state.term == 0
            && restored.snapshot.index == 0
            && restored.entries.is_empty()
    }

    /// Makes this replica one of the first.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk.
    pub(crate) fn found(&mut self, id: u64, founders: &[Voter]) -> Result<(), Storage> {
        let voters = founders.iter().map(|f| (f.id, f.address.clone())).collect();
        self.identity = Identity { id, founders: Members { voters, ..Members::default() } };
        self.folder.write_identity(&self.identity)?;
        tracing::info!(group = self.group, id, ?founders, "founder of the journal");
        Ok(())
    }

    /// Starts the replica.
    ///
    /// # Errors
    ///
    /// Returns the error of starting a thread.
    pub(crate) fn start(
        self,
        settings: &Settings,
        clock: Clock,
        post: Arc<dyn Post>,
    ) -> std::io::Result<Handle> {
        let membership =
            membership::Settings { target: settings.replicas(), ..membership::Settings::default() };
        replica::start(replica::Start {
            group: self.group,
            identity: self.identity,
            clock,
            consensus: consensus::Settings {
                election_ms: settings.election_ms,
                heartbeat_ms: settings.election_ms / 6,
                ..consensus::Settings::default()
            },
            compact_bytes: settings.compact_bytes,
            seed: rand::rng().next_u64(),
            opened: self.opened,
            post,
            planner: Some(Planner::new(membership)),
        })
    }
}

/// The control journal's founders: the instances at the seeds' addresses.
pub(crate) fn control_founders(settings: &Settings) -> Option<(u64, Vec<Voter>)> {
    let is_founder = settings.is_first_start && settings.seeds.contains(&settings.address);
    let founder = |address: &String| Voter { id: initial_id(address), address: address.clone() };
    is_founder
        .then(|| (initial_id(&settings.address), settings.seeds.iter().map(founder).collect()))
}

fn new_machine(group: u32, folder: &Path) -> Result<Box<dyn StateMachine>, Storage> {
    if group == CONTROL {
        return Ok(Box::new(Registry::default()));
    }
    Ok(Box::new(Turns::new(crate::storage::history(folder)?)))
}
