//! The local replica of an instance, with its data folder.
//!
//! Opens or creates the data folder, and starts the replica of the journal that belongs to
//! the role of the instance.

use crate::clock::Clock;
use crate::memory::Budget;
use crate::replica::{self, Handle, MessageSender};
use crate::storage::{Folder, Group, Identity};
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

/// Group id of the control journal, which holds the registry.
pub(crate) const CONTROL: u32 = protocol::wire::CONTROL_GROUP;

/// Group id of the program journal, which holds turns.
pub(crate) const PROGRAMS: u32 = 1;

/// A replica that is opened but not started.
pub(crate) struct Replica {
    group: u32,
    folder: Folder,
    pub(crate) identity: Identity,
    opened: Group,
}

impl Replica {
    /// Opens the data folder of an instance. A corrupt folder is set aside and replaced by a new
    /// one.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk fails.
    pub(crate) fn open(group: u32, settings: &Settings, path: &Path) -> Result<Self, Storage> {
        let folder = Folder::open(settings.disk.clone(), path)?;
        let make = |path: &Path| new_state_machine(group, settings, path);
        if let Some(identity) = folder.identity()? {
            match folder.open_group(group, make) {
                Ok(opened) => return Ok(Self { group, folder, identity, opened }),
                Err(error @ Storage::Corrupt { .. }) => {
                    tracing::error!(%error, "corrupt data folder set aside; starting a new one");
                    folder.set_aside()?;
                }
                Err(error) => return Err(error),
            }
        }
        let identity = Identity::fresh();
        let opened = folder.open_group(group, make)?;
        folder.write_identity(&identity)?;
        tracing::info!(group, id = identity.id, "data folder created");
        Ok(Self { group, folder, identity, opened })
    }

    /// Whether the replica has neither state nor initial members, so that it must be bootstrapped
    /// or added to an existing journal.
    pub(crate) fn is_uninitialized(&self) -> bool {
        let restored = &self.opened.restored;
        self.identity.initial_members.voters.is_empty()
            && restored.hard_state.term == 0
            && restored.snapshot.index == 0
            && restored.entries.is_empty()
    }

    /// Makes this replica an initial member of its journal.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk fails.
    pub(crate) fn bootstrap(&mut self, id: u64, initial_members: &[Voter]) -> Result<(), Storage> {
        let voters = initial_members.iter().map(|v| (v.id, v.address.clone())).collect();
        self.identity = Identity { id, initial_members: Members { voters, ..Members::default() } };
        self.folder.write_identity(&self.identity)?;
        tracing::info!(
            group = self.group,
            id,
            ?initial_members,
            "bootstrapped as an initial member of the journal"
        );
        Ok(())
    }

    /// Starts the thread of the replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(crate) fn start(
        self,
        settings: &Settings,
        clock: Clock,
        message_sender: Arc<dyn MessageSender>,
        budget: &Arc<Budget>,
    ) -> std::io::Result<Handle> {
        let membership =
            membership::Settings { target: settings.replicas(), ..membership::Settings::default() };
        replica::start(replica::Config {
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
            message_sender,
            planner: Some(Planner::new(membership)),
            budget: Some(budget.clone()),
        })
    }
}

/// Returns the initial members of the control journal, which are the instances at the seed
/// addresses, and the id of this one; `None` if this instance is not one of them.
pub(crate) fn control_initial_members(settings: &Settings) -> Option<(u64, Vec<Voter>)> {
    let is_initial = settings.is_first_start && settings.seeds.contains(&settings.address);
    let member = |address: &String| Voter { id: initial_id(address), address: address.clone() };
    is_initial.then(|| (initial_id(&settings.address), settings.seeds.iter().map(member).collect()))
}

fn new_state_machine(
    group: u32,
    settings: &Settings,
    folder: &Path,
) -> Result<Box<dyn StateMachine>, Storage> {
    if group == CONTROL {
        return Ok(Box::new(Registry::default()));
    }
    let history = crate::storage::history(settings.disk.clone(), folder)?;
    Ok(Box::new(Turns::new(history).with_max_retained_bytes(settings.max_retained_bytes)))
}
