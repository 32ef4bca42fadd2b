//! The data folder of one instance.
//!
//! It holds one identity and the journals of all local replicas. If a journal is corrupt, the
//! contents of the whole folder are set aside, and the instance rejoins under a new identity.

use coordination::consensus::{
    Entry, HardState, Id, Members, Meta, Restored, StartMode, initial_id,
};
use protocol::presence::Build;
use rand::Rng;
use serde::{Deserialize, Serialize};
use state::control::Control;
use state::disk::{Disk, Local};
use state::error::Storage;
use state::history::{Files, Store};
use state::journal::{Journal, Recovery};
use state::machine::{self, StateMachine};
use state::program::Shard;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Build of this instance.
pub(crate) const BUILD: Build = Build {
    version: (
        number(env!("CARGO_PKG_VERSION_MAJOR")),
        number(env!("CARGO_PKG_VERSION_MINOR")),
        number(env!("CARGO_PKG_VERSION_PATCH")),
    ),
    format: FORMAT,
};

/// Format of the data folders that this build reads and writes: that of the records, snapshots and
/// commands in the journals. A folder of the first format has no file `format`.
const FORMAT: u32 = 1;

/// Identity of a data folder, as stored in its file `identity`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    /// Replica id that all journals of the folder share.
    pub(crate) id: Id,
    /// Initial members of the groups that the folder helped to bootstrap; empty if it joined
    /// existing groups.
    pub(crate) initial_members: Members,
}

impl Identity {
    /// A new random identity without initial members.
    pub(crate) fn fresh() -> Self {
        Self { id: rand::rng().next_u64(), initial_members: Members::default() }
    }

    /// Creates the identity of a folder that starts in `start_mode`; `None` if it must wait.
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

/// A data folder with the journals of all local replicas.
#[derive(Debug, Clone)]
pub(crate) struct Folder {
    path: PathBuf,
    disk: Arc<dyn Disk>,
}

/// Journal of one replica group, with the state recovered from it.
pub(crate) struct Group {
    pub(crate) log: Journal,
    pub(crate) state_machine: Box<dyn StateMachine>,
    pub(crate) restored: Restored,
}

impl Folder {
    /// Opens a data folder, which is created if it does not exist. The folder of a build with a later
    /// format is not changed.
    pub(crate) fn open(disk: Arc<dyn Disk>, path: &Path) -> Result<Self, Storage> {
        std::fs::create_dir_all(path)?;
        check_format(path)?;
        Ok(Self { path: path.to_owned(), disk })
    }

    /// Reads the identity; `None` for a new folder.
    pub(crate) fn identity(&self) -> Result<Option<Identity>, Storage> {
        match std::fs::read(self.path.join("identity")) {
            Ok(bytes) => Ok(Some(machine::decode(&bytes)?)),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Replaces the identity atomically and syncs it to the disk.
    pub(crate) fn write_identity(&self, identity: &Identity) -> Result<(), Storage> {
        let temporary = self.path.join("identity.tmp");
        let mut file = File::create(&temporary)?;
        file.write_all(&machine::encode(identity)?)?;
        self.disk.sync_all(&file)?;
        std::fs::rename(&temporary, self.path.join("identity"))?;
        self.disk.sync_all(&File::open(&self.path)?)?;
        Ok(())
    }

    /// Moves the contents of the folder into a new subfolder, so that they can be examined.
    pub(crate) fn set_aside(&self) -> Result<(), Storage> {
        let mut number = 0;
        let mut target = self.path.join("damaged-0");
        while target.exists() {
            number += 1;
            target = self.path.join(format!("damaged-{number}"));
        }
        std::fs::create_dir(&target)?;
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            if !entry.file_name().to_string_lossy().starts_with("damaged-") {
                std::fs::rename(entry.path(), target.join(entry.file_name()))?;
            }
        }
        self.disk.sync_all(&File::open(&self.path)?)?;
        Ok(())
    }

    /// Opens the journal of `group` and restores the state machine from it. `create` returns an
    /// empty state machine that may keep files in the given folder of the journal.
    pub(crate) fn open_group(
        &self,
        group: u32,
        create: impl FnOnce(&Path) -> Result<Box<dyn StateMachine>, Storage>,
    ) -> Result<Group, Storage> {
        let folder = self.path.join(format!("group-{group}"));
        let (log, recovery) = Journal::open_on(self.disk.clone(), &folder)?;
        // Sync the data folder as well, so that a new subfolder survives a power failure.
        self.disk.sync_all(&File::open(&self.path)?)?;
        let mut state_machine = create(&folder)?;
        let restored = restore(recovery, state_machine.as_mut())?;
        Ok(Group { log, state_machine, restored })
    }
}

/// Parses a decimal number; any other text does not compile.
const fn number(digits: &str) -> u8 {
    let (digits, mut index, mut number) = (digits.as_bytes(), 0, 0);
    while index < digits.len() {
        number = number * 10 + (digits[index] - b'0');
        index += 1;
    }
    number
}

/// Checks that this build knows the format of the data folder.
fn check_format(folder: &Path) -> Result<(), Storage> {
    let text = match std::fs::read(folder.join("format")) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error.into()),
    };
    match text.trim().parse() {
        Ok(found) if found > FORMAT => Err(Storage::Format { found, known: FORMAT }),
        Ok(_) => Ok(()),
        Err(_) => Err(Storage::UnreadableFormat { found: text }),
    }
}

/// Creates the empty state machine of the control group or of a program shard.
pub(crate) fn create_state_machine(
    group: u32,
    folder: &Path,
) -> Result<Box<dyn StateMachine>, Storage> {
    if group == protocol::wire::CONTROL_GROUP {
        return Ok(Box::new(Control::default()));
    }
    Ok(Box::new(Shard::new(history(Arc::new(Local), folder)?)))
}

/// Opens the history files in the folder of a journal.
pub(crate) fn history(disk: Arc<dyn Disk>, folder: &Path) -> Result<Box<dyn Store>, Storage> {
    Ok(Box::new(Files::open_on(disk, &folder.join("history"))?))
}

/// Loads the recovered snapshot into the state machine and decodes the consensus state.
fn restore(recovery: Recovery, state_machine: &mut dyn StateMachine) -> Result<Restored, Storage> {
    let hard_state = match &recovery.meta {
        Some(meta) => machine::decode::<HardState>(meta)?,
        None => HardState::default(),
    };
    let snapshot = match &recovery.snapshot {
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
        recovery.entries.iter().map(|(_, body)| machine::decode(body)).collect();
    Ok(Restored { hard_state, snapshot, entries: entries? })
}
