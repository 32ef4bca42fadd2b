//! The data folder of one instance.
//!
//! One identity covers all journals of the folder. A folder with a damaged journal is
//! moved aside as a whole, and the instance joins again under a fresh identity.

use coordination::consensus::{
    Entry, HardState, Id, Members, Meta, Restored, StartMode, initial_id,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use state::control::Control;
use state::error::Storage;
use state::history::{Files, Store};
use state::journal::{Journal, Recovery};
use state::machine::{self, StateMachine};
use state::program::Shard;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

/// Identity of a data folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub(crate) id: Id,
    /// Members at the first start; none for a folder that joined later.
    pub(crate) initial_members: Members,
}

impl Identity {
    /// A fresh identity, which founds nothing.
    pub(crate) fn fresh() -> Self {
        Self { id: rand::rng().next_u64(), initial_members: Members::default() }
    }

    /// Identity of a folder that starts as `start_mode` says.
    pub(crate) fn for_start_mode(start_mode: &StartMode, instance: &str) -> Option<Self> {
        match start_mode {
            StartMode::Wait => None,
            StartMode::InitialMember(initial_members) => {
                Some(Self { id: initial_id(instance), initial_members: initial_members.clone() })
            }
            StartMode::Learner => Some(Self::fresh()),
        }
    }
}

/// The journals under one folder.
#[derive(Debug, Clone)]
pub(crate) struct Folder {
    path: PathBuf,
}

/// What one journal's replica starts from.
pub(crate) struct Group {
    pub(crate) log: Journal,
    pub(crate) state_machine: Box<dyn StateMachine>,
    pub(crate) restored: Restored,
}

impl Folder {
    pub(crate) fn open(path: &Path) -> Result<Self, Storage> {
        std::fs::create_dir_all(path)?;
        Ok(Self { path: path.to_owned() })
    }

    pub(crate) fn identity(&self) -> Result<Option<Identity>, Storage> {
        match std::fs::read(self.path.join("identity")) {
            Ok(bytes) => Ok(Some(machine::decode(&bytes)?)),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    pub(crate) fn write_identity(&self, identity: &Identity) -> Result<(), Storage> {
        let temporary = self.path.join("identity.tmp");
        let mut file = File::create(&temporary)?;
        file.write_all(&machine::encode(identity)?)?;
        file.sync_all()?;
        std::fs::rename(&temporary, self.path.join("identity"))?;
        File::open(&self.path)?.sync_all()?;
        Ok(())
    }

    /// Moves everything into a subfolder for later examination.
    pub(crate) fn set_aside(&self) -> Result<(), Storage> {
        let mut number = 0;
        let mut aside = self.path.join("damaged-0");
        while aside.exists() {
            number += 1;
            aside = self.path.join(format!("damaged-{number}"));
        }
        std::fs::create_dir(&aside)?;
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            if !entry.file_name().to_string_lossy().starts_with("damaged-") {
                std::fs::rename(entry.path(), aside.join(entry.file_name()))?;
            }
        }
        File::open(&self.path)?.sync_all()?;
        Ok(())
    }

    /// Opens the journal `group`; `create` makes its empty machine in the journal's folder.
    pub(crate) fn open_group(
        &self,
        group: u32,
        create: impl FnOnce(&Path) -> Result<Box<dyn StateMachine>, Storage>,
    ) -> Result<Group, Storage> {
        let folder = self.path.join(format!("group-{group}"));
        let (log, recovered) = Journal::open(&folder)?;
        // The journal's own folder must outlast a power loss, too.
        File::open(&self.path)?.sync_all()?;
        let mut state_machine = create(&folder)?;
        let restored = restore(recovered, state_machine.as_mut())?;
        Ok(Group { log, state_machine, restored })
    }
}

/// Machine of the tickets' control journal or of a shard of programs.
pub(crate) fn create_state_machine(
    group: u32,
    folder: &Path,
) -> Result<Box<dyn StateMachine>, Storage> {
    if group == protocol::wire::CONTROL_GROUP {
        return Ok(Box::new(Control::default()));
    }
    Ok(Box::new(Shard::new(history(folder)?)))
}

/// History files of a journal.
pub(crate) fn history(folder: &Path) -> Result<Box<dyn Store>, Storage> {
    Ok(Box::new(Files::open(&folder.join("history"))?))
}

fn restore(recovered: Recovery, state_machine: &mut dyn StateMachine) -> Result<Restored, Storage> {
    let hard_state = match &recovered.meta {
        Some(meta) => machine::decode::<HardState>(meta)?,
        None => HardState::default(),
    };
    let snapshot = match &recovered.snapshot {
        Some((_, meta, state)) => {
            state_machine.load(state)?;
            machine::decode::<Meta>(meta)?
        }
        None => {
            state_machine.reset()?;
            Meta::default()
        }
    };
    let entries: Result<Vec<Entry>, Storage> =
        recovered.entries.iter().map(|(_, body)| machine::decode(body)).collect();
    Ok(Restored { hard_state, snapshot, entries: entries? })
}
