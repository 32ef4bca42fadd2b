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
//! Other requests are lost with the same server. A crash weighs more against a request that had no
//! output yet than against one that had been executing for a while.
//!
//! Load pattern: one request that crashes servers and comes again and again through all instances,
//! among many that are lost with it and then succeed elsewhere.

use crate::Millis;
use crate::content::Content;
use serde::{Deserialize, Serialize};
use state::collections::{Map, Set};
use std::collections::VecDeque;

/// Weight from which content is quarantined: two crashes before any output, or three others.
const MIN_WEIGHT: u32 = 6;

/// Weight of a crash before any output.
const WEIGHT_BEFORE_OUTPUT: u32 = 3;

/// Weight of any other crash.
const WEIGHT: u32 = 2;

/// Time for which a crash counts, in milliseconds: several times as long as callers try again.
const CRASH_RETENTION_MS: Millis = 120_000;

/// Duration of a quarantine, in milliseconds.
const QUARANTINE_MS: Millis = 600_000;

/// Remaining time from which a quarantine is passed on, in milliseconds. Without it, instances would
/// renew it for each other by the time that their messages take.
const MIN_RELAYED_MS: Millis = 5_000;

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
    /// Digest of the server and the request.
    pub digest: u64,
    /// Whether the server had sent none of the output.
    pub is_before_output: bool,
    /// Time since the crash, in milliseconds.
    pub age_ms: Millis,
}

/// Content that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The content.
    pub content: Content,
    /// Time until the end of the quarantine, in milliseconds.
    pub remaining_ms: Millis,
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

/// Crashes and quarantines that an instance knows.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    /// In the order in which this instance learned of them.
    crashes: VecDeque<Known>,
    /// Digests of the crashes.
    digests: Set<u64>,
    /// End of the quarantine, by content.
    until: Map<Content, Millis>,
}

impl Quarantine {
    /// Records a crash that this instance observed; returns whether its content is quarantined by
    /// that.
    pub fn observe(&mut self, now: Millis, crash: Crash) -> bool {
        self.remove_expired(now);
        self.record(now, crash, true)
    }

    /// Records a crash unless it is known; returns whether its content is quarantined by that.
    fn record(&mut self, now: Millis, crash: Crash, is_own: bool) -> bool {
        let content = crash.content;
        if crash.age_ms > CRASH_RETENTION_MS || !self.digests.insert(crash.digest) {
            return false;
        }
        if self.crashes.len() == MAX_CRASHES
            && let Some(oldest) = self.crashes.pop_front()
        {
            self.digests.remove(&oldest.crash.digest);
        }
        self.crashes.push_back(Known { at: now.saturating_sub(crash.age_ms), crash, is_own });
        if self.until.contains_key(&content) || self.weight(&content) < MIN_WEIGHT {
            return false;
        }
        self.until.insert(content, now + QUARANTINE_MS);
        true
    }

    /// Adds what another instance reports; returns the content that is quarantined by that.
    pub fn extend(&mut self, now: Millis, report: &Report) -> Vec<Content> {
        let mut added: Vec<Content> = Vec::new();
        self.until.retain(|_, until| now < *until);
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
            if !self.until.contains_key(content) {
                self.until.insert(*content, now + (*remaining_ms).min(QUARANTINE_MS));
                added.push(*content);
            }
        }
        added
    }

    /// Whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Time until the end of a content's quarantine; `None` if it isn't quarantined.
    pub fn remaining(&self, now: Millis, content: &Content) -> Option<Millis> {
        self.until.get(content)?.checked_sub(now).filter(|remaining| *remaining > 0)
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
        let quarantined = self.until.iter().map(|(content, until)| Quarantined {
            content: *content,
            remaining_ms: until.saturating_sub(now),
        });
        let mut quarantined: Vec<Quarantined> =
            quarantined.filter(|quarantined| quarantined.remaining_ms > MIN_RELAYED_MS).collect();
        quarantined.sort_unstable_by_key(|quarantined| std::cmp::Reverse(quarantined.remaining_ms));
        quarantined.truncate(MAX_REPORTED);
        quarantined
    }

    fn weight(&self, content: &Content) -> u32 {
        let crashes = self.crashes.iter().map(|known| &known.crash);
        let crashes = crashes.filter(|crash| crash.content == *content);
        let weight = |crash: &Crash| match crash.is_before_output {
            true => WEIGHT_BEFORE_OUTPUT,
            false => WEIGHT,
        };
        crashes.map(weight).sum()
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
        self.until.retain(|_, until| now < *until);
    }
}
