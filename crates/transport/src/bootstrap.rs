//! Start of the replicas of an instance.
//!
//! Covers the bootstrap of a new deployment, the restart of an instance with its data folder,
//! and the rejoining of an instance that lost its disk.

use crate::clock::Clock;
use crate::node::Error;
use crate::peers::Service;
use crate::replica::{self, Handle};
use crate::rpc::Transport;
use crate::storage::{Folder, Group, Identity, create_state_machine};
use coordination::consensus::{self, Peer, StartMode};
use protocol::settings::Settings;
use protocol::wire::{CONTROL_GROUP, Request, Response};
use rand::Rng;
use state::collections::Map;
use state::disk::Local;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Pause between two rounds of probes while an instance starts for the first time.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of a probe or of a request to join a group.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two rounds of requests to join the groups.
const JOIN_PAUSE: Duration = Duration::from_millis(300);

/// Starts the replicas of an instance and returns their handles by group; none for an instance
/// without a data folder. Waits until it is clear how a new data folder starts.
pub(crate) async fn start_replicas(
    settings: &Settings,
    clock: Clock,
    transport: &Arc<Transport>,
    peer_service: &Arc<Service>,
) -> Result<Map<u32, Handle>, Error> {
    let Some(storage) = settings.storage.as_ref().filter(|_| is_replica(settings)) else {
        return Ok(Map::default());
    };
    let (identity, opened) =
        open_folder(settings, &storage.folder, transport, peer_service).await?;
    let _ = peer_service.id.set(identity.id);
    let is_first = opened.iter().all(|(_, opened)| is_empty(opened));
    if !identity.initial_members.voters.is_empty() && is_first {
        wait_for_initial_members(settings, transport).await;
    }
    let mut groups = Map::default();
    for (group, opened) in opened {
        let config = replica::Config {
            group,
            identity: identity.clone(),
            clock,
            consensus: consensus::Settings {
                election_ms: settings.journal.election_ms,
                heartbeat_ms: settings.journal.election_ms / 6,
                ..consensus::Settings::default()
            },
            compact_bytes: settings.journal.compact_bytes,
            seed: rand::rng().next_u64(),
            opened,
            message_sender: transport.clone(),
            planner: None,
            budget: None,
        };
        groups.insert(group, replica::start(config).map_err(Error::new)?);
    }
    drop(peer_service.groups.set(groups.clone()));
    tokio::spawn(join_groups(
        settings.name.clone(),
        identity.id,
        groups.clone(),
        transport.clone(),
    ));
    Ok(groups)
}

/// Whether the instance holds a replica of each group.
fn is_replica(settings: &Settings) -> bool {
    settings.replicas().contains(&settings.name)
}

/// Whether the replica never stored a term, a snapshot or an entry.
fn is_empty(opened: &Group) -> bool {
    let restored = &opened.restored;
    restored.hard_state.term == 0 && restored.snapshot.index == 0 && restored.entries.is_empty()
}

/// Opens the data folder with the journals of all groups. The contents of a corrupt folder are
/// set aside, provided that other instances hold replicas, and the folder starts anew.
async fn open_folder(
    settings: &Settings,
    path: &Path,
    transport: &Arc<Transport>,
    peer_service: &Arc<Service>,
) -> Result<(Identity, Vec<(u32, Group)>), Error> {
    let folder = Folder::open(Arc::new(Local), path).map_err(Error::new)?;
    let open_all = || -> Result<Vec<(u32, Group)>, state::error::Storage> {
        let groups = CONTROL_GROUP..=settings.journal.shards;
        groups
            .map(|group| {
                Ok((group, folder.open_group(group, |path| create_state_machine(group, path))?))
            })
            .collect()
    };
    if let Some(identity) = folder.identity().map_err(Error::new)? {
        match open_all() {
            Ok(opened) => {
                let had_state = opened.iter().any(|(_, opened)| !is_empty(opened));
                peer_service.had_state.store(had_state, Ordering::SeqCst);
                peer_service.has_identity.store(true, Ordering::SeqCst);
                return Ok((identity, opened));
            }
            Err(error @ state::error::Storage::Corrupt { .. }) if settings.replicas().len() > 1 => {
                tracing::error!(%error, "corrupt data folder set aside; starting a new one");
                folder.set_aside().map_err(Error::new)?;
            }
            Err(error) => return Err(Error::new(error)),
        }
    }
    let identity = await_start_mode(settings, transport).await;
    let opened = open_all().map_err(Error::new)?;
    folder.write_identity(&identity).map_err(Error::new)?;
    peer_service.has_identity.store(true, Ordering::SeqCst);
    tracing::info!(
        id = identity.id,
        is_initial_member = !identity.initial_members.voters.is_empty(),
        "data folder created"
    );
    Ok((identity, opened))
}

/// Probes the other replicas until it is clear how an empty folder starts; returns its identity.
async fn await_start_mode(settings: &Settings, transport: &Arc<Transport>) -> Identity {
    loop {
        let answers = probe(settings, transport).await;
        let peers: Vec<Peer> = answers.into_iter().map(|(peer, _)| peer).collect();
        let start_mode = StartMode::decide(&settings.name, &settings.replicas(), &peers);
        if let Some(identity) = Identity::for_start_mode(&start_mode, &settings.name) {
            return identity;
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}

/// Waits until every other initial member has written its identity. If a replica started earlier
/// and stored a term, an initial member still without an identity would take the group for an
/// existing one and join it as a learner.
async fn wait_for_initial_members(settings: &Settings, transport: &Arc<Transport>) {
    let others = settings.replicas().len() - 1;
    loop {
        let answers = probe(settings, transport).await;
        let ready =
            answers.iter().filter(|(peer, has_identity)| *has_identity || !peer.is_fresh).count();
        if ready >= others {
            return;
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}

/// Probes the other replicas; returns those that answer, and whether each has an identity.
async fn probe(settings: &Settings, transport: &Arc<Transport>) -> Vec<(Peer, bool)> {
    let others = settings.replicas().into_iter().filter(|name| *name != settings.name);
    let probes = others.map(|name| async move {
        match transport.call(&name, Request::Probe, PROBE_TIMEOUT).await {
            Ok(Response::Peer { peer, has_identity }) => Some((peer, has_identity)),
            _ => None,
        }
    });
    futures_util::future::join_all(probes).await.into_iter().flatten().collect()
}

/// Requests to join each group in which the local replica does not vote, for as long as the
/// process runs. Each instance is asked until one leads the group and accepts the request.
async fn join_groups(name: String, id: u64, groups: Map<u32, Handle>, transport: Arc<Transport>) {
    loop {
        tokio::time::sleep(JOIN_PAUSE).await;
        let missing: Vec<u32> = groups
            .iter()
            .filter(|(_, handle)| {
                let status = handle.status.borrow();
                !status.is_voter && status.fault.is_none()
            })
            .map(|(group, _)| *group)
            .collect();
        for group in missing {
            for peer in transport.names() {
                let request = Request::Join { group, instance: name.clone(), id };
                if transport.call(&peer, request, PROBE_TIMEOUT).await == Ok(Response::Done) {
                    break;
                }
            }
        }
    }
}
