//! Heartbeats to the control instances.
//!
//! Every instance sends its state to all control instances at a fixed interval and applies
//! their replies. One control instance at a time also relays the backend server list and the
//! entries' loads.

use crate::clock::{self, millis};
use crate::member::node::Member;
use crate::member::replica::{CONTROL, PROGRAMS};
use crate::storage::BUILD;
use coordination::routing;
use protocol::presence::{self, Heartbeat, Replica, Reply, Role};
use protocol::wire::{Request, Response};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Heartbeats that the relaying control instance may leave unanswered before another one takes
/// its place.
const RELAY_MISSED_HEARTBEATS: u32 = 3;

/// Timeout for the reply to a heartbeat: several heartbeat intervals.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Factor by which heartbeats are more frequent while an instance has no registry yet.
const INITIAL_RATE_FACTOR: u32 = 3;

/// Sends heartbeats for as long as the process runs.
pub(crate) async fn run(member: Arc<Member>) {
    let mut source = Source::default();
    loop {
        let heartbeat = heartbeat(&member);
        let addresses = member.control_addresses();
        let relay = source.choose(&member, &addresses);
        let (revision, now) = (heartbeat.revision, member.clock.now());
        let asked = member.offers.lock().ok().and_then(|mut offers| offers.ask(revision, now));
        let serves_parts =
            |address: &str| member.offers.lock().is_ok_and(|offers| offers.serves_parts(address));
        for address in addresses {
            let (member, mut heartbeat) = (member.clone(), heartbeat.clone());
            // Control instances request the list from all others: there are few of them, and
            // entries depend on the list of each one.
            heartbeat.wants_relay =
                heartbeat.role == Role::Control || Some(&address) == relay.as_ref();
            if asked.as_ref() != Some(&address) && !serves_parts(&address) {
                heartbeat.revision = presence::NOT_WANTED;
            }
            tokio::spawn(async move {
                let (sent_at, sent_at_boot_ms) = (Instant::now(), clock::boot_ms());
                let request = Request::Heartbeat(Box::new(heartbeat));
                let response = member.transport.call(&address, &request, HEARTBEAT_TIMEOUT).await;
                match response {
                    Ok(Response::HeartbeatReply(reply)) => {
                        if let Some(confirmation) = reply.confirmation {
                            member.with_authority(|a| a.receive(sent_at_boot_ms, confirmation));
                        }
                        apply_reply(&member, &address, *reply, sent_at);
                    }
                    _ => drop(member.metrics.heartbeats_unanswered.inc()),
                }
            });
        }
        let is_new = member.view.borrow().registry.revision == 0;
        let pause = if is_new {
            member.settings.heartbeat_interval / INITIAL_RATE_FACTOR
        } else {
            member.settings.heartbeat_interval
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = member.heartbeat_trigger.notified() => {}
        }
    }
}

/// The control instance from which the backend server list and the loads are requested.
#[derive(Default)]
struct Source {
    address: Option<String>,
    chosen_at: Option<Instant>,
}

impl Source {
    /// Returns the address of the source. It changes only if the source does not reply, its list
    /// is stale, or its address is no longer known.
    fn choose(&mut self, member: &Member, addresses: &[String]) -> Option<String> {
        let timeout = member.settings.heartbeat_interval * RELAY_MISSED_HEARTBEATS;
        let (relayed_at, is_stale) = match member.settings.role {
            // Only the roster is relayed to instances that use no backend servers.
            Role::Programs => (member.view.borrow().compared_at, false),
            Role::Entry | Role::Control => {
                let view = member.servers.borrow();
                (view.relayed_at, view.is_stale())
            }
        };
        // A new source gets the full timeout before it is replaced.
        let last_contact = if is_stale { self.chosen_at } else { relayed_at.max(self.chosen_at) };
        let is_unresponsive = last_contact.is_none_or(|at| at.elapsed() > timeout);
        let is_listed = self.address.as_ref().is_some_and(|current| addresses.contains(current));
        if is_unresponsive || !is_listed {
            // The hash of the name spreads instances over the sources; after that, they take the
            // sources in turn.
            let current = self.address.as_ref();
            let at =
                current.and_then(|current| addresses.iter().position(|address| address == current));
            let start = routing::digest(member.settings.name.as_bytes()) as usize;
            let next = at.map_or(start, |at| at + 1) % addresses.len().max(1);
            self.address = addresses.get(next).cloned();
            self.chosen_at = Some(Instant::now());
        }
        self.address.clone()
    }
}

/// Builds a heartbeat from the current state of the instance.
fn heartbeat(member: &Member) -> Heartbeat {
    let settings = &member.settings;
    let is_leaving = member.is_leaving.load(Ordering::Relaxed);
    let now = member.clock.now();
    let quarantine = member.quarantine.lock();
    let (quarantine, suspicions) =
        quarantine.map(|q| (q.report(now), q.own_suspicions(now))).unwrap_or_default();
    let usage = member.usage_source.get().map(|usage| usage()).unwrap_or_default();
    Heartbeat {
        name: settings.name.clone(),
        address: settings.address.clone(),
        failure_domain: settings.failure_domain.clone(),
        role: settings.role,
        callers: settings.caller_address.clone(),
        relay: settings.relay_address.clone(),
        is_ready: member.is_ready.load(Ordering::Relaxed) && !is_leaving,
        is_partitioned: member.is_partitioned.load(Ordering::Relaxed),
        replica: replica_status(member),
        revision: member.view.borrow().registry.revision,
        wants_relay: false,
        list_digest: member.servers.borrow().list.as_ref().map_or(0, |current| current.digest),
        roster_digest: member.view.borrow().roster.digest,
        in_flight: usage.in_flight,
        rate_limits: usage.rate_limits,
        build: BUILD,
        quarantine,
        fetches_registry: true,
        usage: member.usage.report(now),
        paces: usage.paces,
        suspicions,
    }
}

/// Status of the local replica; `None` without a data folder.
fn replica_status(member: &Member) -> Option<Replica> {
    let id = *member.id.get()?;
    let Some(handle) = member.handle() else {
        let (term, revision) = (0, 0);
        return Some(Replica { id, is_leader: false, term, members: Vec::new(), revision });
    };
    let status = handle.status.borrow();
    let members = status.members.iter().map(|(_, address, _)| address.clone());
    Some(Replica {
        id,
        is_leader: status.is_established,
        term: status.term,
        members: if status.is_settled { members.collect() } else { Vec::new() },
        revision: member.candidates_revision.load(Ordering::Relaxed),
    })
}

/// Applies the reply of a control instance to a heartbeat that was sent at `sent_at`.
fn apply_reply(member: &Member, from: &str, reply: Reply, sent_at: Instant) {
    let own_revision = member.view.borrow().registry.revision;
    if let Ok(mut offers) = member.offers.lock() {
        offers.record(from, reply.revision, reply.serves_parts, member.clock.now());
        if reply.registry.is_some() {
            offers.arrived();
        }
    }
    if reply.revision > own_revision {
        member.newer_offered.notify_one();
    }
    if let Some(registry) = reply.registry {
        member.metrics.registry_bytes_received.inc_by(registry.size());
        // Other control instances may have sent it before.
        let _ = member.receive_registry(registry, from, millis(sent_at.elapsed()));
    }
    let is_relayed = reply.list.is_some();
    if let Some(relayed) = reply.list {
        member.servers.send_modify(|view| {
            view.relayed_at = Some(Instant::now());
            let digest = relayed.digest;
            let now = member.clock.now();
            view.apply(relayed, sent_at, now);
            // An isolated control instance may have missed a change of versions.
            let is_fresh = !view.is_stale();
            if is_fresh {
                view.versions.extend(now, &reply.versions);
            }
            if !reply.versions.is_empty() {
                tracing::info!(from, is_fresh, versions = ?reply.versions, "versions relayed");
            }
            view.update_loads(digest, &reply.in_flight);
            view.update_paces(digest, &reply.paces);
            view.rate_limits = Arc::new(reply.rate_limits);
        });
    }
    member.extend_quarantine(from, &reply.quarantine);
    member.extend_suspicions(&reply.suspicions);
    // The sums are as old as the heartbeat: the reply may have arrived while this instance did not run.
    let age = millis(sent_at.elapsed());
    member.usage.learn(member.clock.now().saturating_sub(age), from, reply.usage);
    // Earlier builds compare the roster of an entry whenever they relay the list to it.
    let is_entry = member.settings.role == Role::Entry;
    let compares_roster = reply.compares_roster || (is_relayed && is_entry);
    member.view.send_modify(|view| {
        view.last_contact = Some(Instant::now());
        if compares_roster {
            view.compared_at = Some(Instant::now());
        }
        if let Some(roster) = reply.roster {
            view.roster = Arc::new(roster);
        }
        if !reply.control.is_empty() {
            view.control = reply.control;
        }
        if !reply.programs.is_empty() {
            view.programs = reply.programs;
        }
    });
    let view = member.view.borrow();
    let leader = view.programs.first().filter(|_| reply.has_leader).map(String::as_str);
    member.leaders.set_replicas(PROGRAMS, &view.programs, leader);
    member.leaders.set_replicas(CONTROL, &view.control, None);
    drop(view);
    if !reply.candidates.is_empty() {
        member.set_candidates(reply.candidates, reply.revision);
    }
}
