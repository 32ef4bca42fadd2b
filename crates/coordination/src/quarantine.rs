//! Quarantine of content that crashes the backend servers that execute it.
//!
//! A caller whose request failed sends it again under a new id, through any instance, and each
//! attempt breaks off all other requests on one more server. Instances therefore exchange which
//! content was lost with a server that ended, and refuse it once that was enough.
//!
//! The exchange is a union of sets: crashes are told apart by their digests, and an instance that
//! learns of one twice, late or in another order comes to the same result. So it needs no leader and
//! no journal, and any instance that is left preserves what is quarantined.
//!
//! One end of one server is one piece of evidence against a content, however many requests with it
//! were lost. The ends of a server are numbered: the first one that an instance doesn't know has the
//! next number. Instances that observe one end therefore name it alike without asking each other,
//! and an instance that has missed one counts too few rather than too many.
//!
//! Other requests are lost with the same server. A crash weighs more against a request that had no
//! output yet than against one that had been executing for a while. Content whose evidence is shared
//! by other content is quarantined only after a further end, and not if the other one has more
//! against it. What shares an end may be learned a little later, so a quarantine is provisional at
//! first: it may be withdrawn and isn't passed on.
//!
//! A server that is silent may have ended or may go on. Until that is known, the content of its
//! requests is under suspicion, which counts like a crash and is held: it is refused for as long as
//! the suspicion lasts. Suspicions are renewed by the instance that has them, and lapse without that,
//! so that a server that goes on leaves no trace.
//!
//! Load pattern: one request that crashes servers and comes again and again through all instances,
//! among many that are lost with it and then succeed elsewhere, some of them equal to each other.

use crate::Millis;
use crate::content::Content;
use crate::routing;
use serde::{Deserialize, Serialize};
use state::collections::{Map, Set};
use std::collections::VecDeque;

/// Weight from which content is quarantined: two crashes before any output, or three others.
const MIN_WEIGHT: u32 = 6;

/// Weight of a crash before any output.
const WEIGHT_BEFORE_OUTPUT: u32 = 3;

/// Weight of any other crash.
const WEIGHT: u32 = 2;

/// Number of ends from which content is quarantined although other content shares all of them, unless
/// that has more against it: callers may lose three servers to one content.
const MIN_SHARED_ENDS: usize = 3;

/// Time for which a quarantine is provisional, in milliseconds: what is lost with one end is reported
/// to the control instances at once and reaches all others with their next heartbeats.
const PROVISIONAL_MS: Millis = 1_000;

/// Time for which a crash counts, in milliseconds: several times as long as callers try again.
const CRASH_RETENTION_MS: Millis = 120_000;

/// Duration of a quarantine, in milliseconds.
const QUARANTINE_MS: Millis = 600_000;

/// Remaining time from which a quarantine is passed on, in milliseconds. Without it, instances would
/// renew it for each other by the time that their messages take.
const MIN_RELAYED_MS: Millis = 5_000;

/// Time for which a suspicion of another instance holds unless it is renewed, in milliseconds: several
/// heartbeats to a control instance and from there.
const SUSPICION_MS: Millis = 1_000;

/// Time by which a suspicion ages each time that it is passed on, in milliseconds. Without it, instances
/// would renew it for each other by the time that their messages take.
const RELAY_MS: Millis = 250;

/// Pause after which held content may come again, in milliseconds.
const HOLD_MS: Millis = 1_000;

/// Age up to which a crash is reported, in milliseconds. It exceeds the time for which all control
/// instances may be away after a restart.
const REPORT_MS: Millis = 10_000;

/// Maximum number of crashes in a report, and of quarantines in a report or reply.
const MAX_REPORTED: usize = 32;

/// Maximum number of crashes that are remembered; the oldest are forgotten.
const MAX_CRASHES: usize = 4_096;

/// Content that was lost with a backend server that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The content.
    pub content: Content,
    /// Digest of the content and the [end](Quarantine::end_of) of the server. Earlier builds used that
    /// of the server and the request, and tell crashes apart by it as well.
    pub digest: u64,
    /// Whether the server had sent none of the output.
    pub is_before_output: bool,
    /// Time since the crash, in milliseconds.
    pub age_ms: Millis,
}

impl Crash {
    /// Content that was lost just now with an [end](Quarantine::end_of) of a server.
    pub fn new(content: Content, end: u64, is_before_output: bool) -> Self {
        Self { content, digest: end ^ content.low_bits(), is_before_output, age_ms: 0 }
    }

    /// The end of the server with which the content was lost.
    fn end(&self) -> u64 {
        self.digest ^ self.content.low_bits()
    }
}

/// Content that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The content.
    pub content: Content,
    /// Time until the end of the quarantine, in milliseconds.
    pub remaining_ms: Millis,
}

/// Content of a request that a silent server has.
#[derive(Debug, Clone)]
struct Suspicion {
    /// The crash that it is if the server has ended.
    crash: Crash,
    /// Time at which the instance that has the suspicion last renewed it.
    renewed_at: Millis,
    /// Whether this instance has it.
    is_own: bool,
}

impl Suspicion {
    fn holds(&self, now: Millis) -> bool {
        self.is_own || now < self.renewed_at + SUSPICION_MS
    }
}

/// What an instance tells another one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Recent crashes.
    pub crashes: Vec<Crash>,
    /// Content that the instance refuses.
    pub quarantined: Vec<Quarantined>,
}

/// A crash that an instance knows.
#[derive(Debug, Clone)]
struct Known {
    crash: Crash,
    /// Time of the crash.
    at: Millis,
    /// Whether this instance observed it.
    is_own: bool,
}

/// A quarantine that an instance knows.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    until: Millis,
    /// Time until which it may be withdrawn.
    provisional_until: Millis,
}

/// What is known against a content.
#[derive(Debug, Default)]
struct Evidence {
    weight: u32,
    ends: Set<u64>,
}

impl Evidence {
    /// Whether all of it is also known against another content.
    fn is_shared_by(&self, other: &Self) -> bool {
        self.ends.is_subset(&other.ends)
    }
}

/// Crashes and quarantines that an instance knows.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    /// In the order in which this instance learned of them.
    crashes: VecDeque<Known>,
    /// Weights of the crashes, by digest.
    digests: Map<u64, u32>,
    refused: Map<Content, Refusal>,
    suspicions: Vec<Suspicion>,
    /// Content that is refused for as long as the suspicions last.
    held: Set<Content>,
    /// Number of quarantines that were withdrawn.
    withdrawn: u64,
}

impl Quarantine {
    /// Records a crash that this instance observed; returns whether its content is quarantined by
    /// that.
    pub fn observe(&mut self, now: Millis, crash: Crash) -> bool {
        self.remove_expired(now);
        self.record(now, crash, true)
    }

    /// Returns the end of `server` to which a loss belongs, if the server was known to run at
    /// `alive_at`: one that is known to be later, or else the next one.
    pub fn end_of(&self, server: &str, alive_at: Millis) -> u64 {
        let mut known: Map<u64, Millis> = Map::default();
        for crash in &self.crashes {
            let at = known.entry(crash.crash.end()).or_insert(crash.at);
            *at = crash.at.min(*at);
        }
        let mut number = 0_u64;
        loop {
            let end = routing::score(server, &number.to_string());
            match known.get(&end) {
                Some(at) if *at < alive_at => number += 1,
                _ => return end,
            }
        }
    }

    /// Number of quarantines that were withdrawn because other content shares the evidence.
    pub fn withdrawn(&self) -> u64 {
        self.withdrawn
    }

    /// Records a crash unless it is known; returns whether its content is quarantined by that.
    fn record(&mut self, now: Millis, crash: Crash, is_own: bool) -> bool {
        let (content, end) = (crash.content, crash.end());
        if crash.age_ms > CRASH_RETENTION_MS || !self.add(now, crash, is_own) {
            return false;
        }
        let was_refused = self.refused.contains_key(&content);
        self.decide(now, end);
        !was_refused && self.refused.contains_key(&content)
    }

    /// Adds a crash; returns whether that is news.
    fn add(&mut self, now: Millis, crash: Crash, is_own: bool) -> bool {
        let weight = weight(&crash);
        if let Some(known) = self.digests.get_mut(&crash.digest) {
            if *known >= weight {
                return false;
            }
            // Whichever of two equal requests is reported first, the heavier one counts.
            *known = weight;
            let known = self.crashes.iter_mut().find(|known| known.crash.digest == crash.digest);
            return known.is_some_and(|known| {
                known.crash.is_before_output = crash.is_before_output;
                true
            });
        }
        self.digests.insert(crash.digest, weight);
        if self.crashes.len() == MAX_CRASHES
            && let Some(oldest) = self.crashes.pop_front()
        {
            self.digests.remove(&oldest.crash.digest);
        }
        self.crashes.push_back(Known { at: now.saturating_sub(crash.age_ms), crash, is_own });
        true
    }

    /// Decides anew on all content that was lost with `end`.
    fn decide(&mut self, now: Millis, end: u64) {
        let evidence = evidence(self.crashes.iter().map(|known| &known.crash));
        for (content, against) in evidence.iter().filter(|(_, e)| e.ends.contains(&end)) {
            let is_guilty = is_guilty(content, against, &evidence);
            let refusal = self.refused.get(content);
            if is_guilty && refusal.is_none() {
                let (until, provisional_until) = (now + QUARANTINE_MS, now + PROVISIONAL_MS);
                self.refused.insert(*content, Refusal { until, provisional_until });
            } else if !is_guilty && refusal.is_some_and(|refusal| now < refusal.provisional_until) {
                self.refused.remove(content);
                self.withdrawn += 1;
            }
        }
    }

    /// Puts the content of requests under suspicion because their server, whose
    /// [end](Quarantine::end_of) it may be, is silent. Returns the content that is held now.
    pub fn suspect(&mut self, now: Millis, crashes: Vec<Crash>) -> Vec<Content> {
        let contents: Set<Content> = crashes.iter().map(|crash| crash.content).collect();
        for crash in crashes {
            self.suspicions.retain(|suspicion| suspicion.crash.digest != crash.digest);
            self.suspicions.push(Suspicion { crash, renewed_at: now, is_own: true });
        }
        self.hold();
        contents.into_iter().filter(|content| self.is_held(content)).collect()
    }

    /// Ends the suspicions of this instance that concern an end of a server.
    pub fn clear(&mut self, end: u64) {
        self.suspicions.retain(|suspicion| !suspicion.is_own || suspicion.crash.end() != end);
        self.hold();
    }

    /// Returns the suspicions of this instance, with the time since they were renewed as their age.
    pub fn own_suspicions(&self, now: Millis) -> Vec<Crash> {
        self.recent_suspicions(now, |suspicion| suspicion.is_own)
    }

    /// Returns all suspicions, with the time since they were renewed as their age.
    pub fn suspicions(&self, now: Millis) -> Vec<Crash> {
        self.recent_suspicions(now, |_| true)
    }

    fn recent_suspicions(
        &self,
        now: Millis,
        is_included: impl Fn(&Suspicion) -> bool,
    ) -> Vec<Crash> {
        let included = self.suspicions.iter().rev().filter(|s| s.holds(now) && is_included(s));
        let aged = included.map(|suspicion| {
            let age_ms = match suspicion.is_own {
                true => 0,
                false => now.saturating_sub(suspicion.renewed_at) + RELAY_MS,
            };
            Crash { age_ms, ..suspicion.crash.clone() }
        });
        aged.take(MAX_REPORTED).collect()
    }

    /// Adds the suspicions of other instances, and drops those that were not renewed.
    pub fn extend_suspicions(&mut self, now: Millis, reported: &[Crash]) {
        if self.suspicions.is_empty() && reported.is_empty() {
            return;
        }
        for crash in reported {
            let renewed_at = now.saturating_sub(crash.age_ms);
            let known = self.suspicions.iter_mut().find(|s| s.crash.digest == crash.digest);
            match known {
                Some(known) => known.renewed_at = known.renewed_at.max(renewed_at),
                None => {
                    let crash = crash.clone();
                    self.suspicions.push(Suspicion { crash, renewed_at, is_own: false });
                }
            }
        }
        self.suspicions.retain(|suspicion| suspicion.holds(now));
        self.hold();
    }

    /// Decides anew which content is held.
    fn hold(&mut self) {
        self.held.clear();
        if self.suspicions.is_empty() {
            return;
        }
        let suspected = self.suspicions.iter().map(|suspicion| &suspicion.crash);
        let known = self.crashes.iter().map(|known| &known.crash);
        // An end may be known to others already.
        let known = known.filter(|crash| suspected.clone().all(|s| s.digest != crash.digest));
        let evidence = evidence(known.chain(suspected.clone()));
        let contents = suspected.map(|crash| crash.content);
        let held = contents.filter(|content| {
            evidence.get(content).is_some_and(|against| is_guilty(content, against, &evidence))
        });
        self.held = held.collect();
    }

    /// Whether content is refused for as long as servers that have it are silent.
    pub fn is_held(&self, content: &Content) -> bool {
        self.held.contains(content)
    }

    /// Adds what another instance reports; returns the content that is quarantined by that.
    pub fn extend(&mut self, now: Millis, report: &Report) -> Vec<Content> {
        let mut added: Vec<Content> = Vec::new();
        self.refused.retain(|_, refusal| now < refusal.until);
        if *report == Report::default() {
            return added;
        }
        self.remove_expired(now);
        for crash in &report.crashes {
            if self.record(now, crash.clone(), false) {
                added.push(crash.content);
            }
        }
        for Quarantined { content, remaining_ms } in &report.quarantined {
            if !self.refused.contains_key(content) {
                let until = now + (*remaining_ms).min(QUARANTINE_MS);
                self.refused.insert(*content, Refusal { until, provisional_until: now });
                added.push(*content);
            }
        }
        added
    }

    /// Whether nothing is quarantined or held.
    pub fn is_empty(&self) -> bool {
        self.refused.is_empty() && self.held.is_empty()
    }

    /// Time after which content that is quarantined or held may come again; `None` if it is neither.
    pub fn remaining(&self, now: Millis, content: &Content) -> Option<Millis> {
        let refused = self.refused.get(content).and_then(|refusal| refusal.until.checked_sub(now));
        let held = self.is_held(content).then_some(HOLD_MS);
        refused.filter(|remaining| *remaining > 0).or(held)
    }

    /// What this instance observed, and what it refuses: for the control instances.
    pub fn report(&self, now: Millis) -> Report {
        self.recent(now, |known| known.is_own)
    }

    /// What this instance knows: for the instances that report to it.
    pub fn relay(&self, now: Millis) -> Report {
        self.recent(now, |_| true)
    }

    fn recent(&self, now: Millis, is_included: impl Fn(&Known) -> bool) -> Report {
        let included = self.crashes.iter().rev().filter(|known| is_included(known));
        let aged = included
            .map(|known| Crash { age_ms: now.saturating_sub(known.at), ..known.crash.clone() });
        let recent = aged.filter(|crash| crash.age_ms <= REPORT_MS);
        Report { crashes: recent.take(MAX_REPORTED).collect(), quarantined: self.quarantined(now) }
    }

    /// Content that is refused, the latest first.
    fn quarantined(&self, now: Millis) -> Vec<Quarantined> {
        let settled = self.refused.iter().filter(|(_, refusal)| refusal.provisional_until <= now);
        let quarantined = settled.map(|(content, refusal)| Quarantined {
            content: *content,
            remaining_ms: refusal.until.saturating_sub(now),
        });
        let mut quarantined: Vec<Quarantined> =
            quarantined.filter(|quarantined| quarantined.remaining_ms > MIN_RELAYED_MS).collect();
        quarantined.sort_unstable_by_key(|quarantined| std::cmp::Reverse(quarantined.remaining_ms));
        quarantined.truncate(MAX_REPORTED);
        quarantined
    }

    fn remove_expired(&mut self, now: Millis) {
        let digests = &mut self.digests;
        self.crashes.retain(|known| {
            let is_kept = now < known.at + CRASH_RETENTION_MS;
            if !is_kept {
                digests.remove(&known.crash.digest);
            }
            is_kept
        });
        self.refused.retain(|_, refusal| now < refusal.until);
    }
}

/// Returns what is known against each content.
fn evidence<'a>(crashes: impl Iterator<Item = &'a Crash>) -> Map<Content, Evidence> {
    let mut evidence: Map<Content, Evidence> = Map::default();
    for crash in crashes {
        let against = evidence.entry(crash.content).or_default();
        against.weight += weight(crash);
        against.ends.insert(crash.end());
    }
    evidence
}

/// What a crash weighs against its content.
fn weight(crash: &Crash) -> u32 {
    if crash.is_before_output { WEIGHT_BEFORE_OUTPUT } else { WEIGHT }
}

/// Whether the evidence against a content is enough, given that against all.
fn is_guilty(content: &Content, against: &Evidence, all: &Map<Content, Evidence>) -> bool {
    if against.weight < MIN_WEIGHT {
        return false;
    }
    let others = all.iter().filter(|(other, _)| *other != content).map(|(_, other)| other);
    let mut sharing = others.filter(|other| against.is_shared_by(other)).peekable();
    if sharing.peek().is_none() {
        return true;
    }
    against.ends.len() >= MIN_SHARED_ENDS && sharing.all(|other| other.weight <= against.weight)
}
