//! Counts of events by time.

use crate::Millis;
use std::collections::VecDeque;

/// Length of the intervals by which events are counted, in milliseconds.
pub(super) const SLOT_MS: Millis = 100;

/// Number of events in each recent interval that has any.
#[derive(Debug, Clone, Default)]
pub(super) struct Window {
    slots: VecDeque<(Millis, u32)>,
}

impl Window {
    /// Counts events at `now` and forgets those before `oldest`.
    pub(super) fn add(&mut self, now: Millis, count: u32, oldest: Millis) {
        while self.slots.front().is_some_and(|(at, _)| at + SLOT_MS <= oldest) {
            self.slots.pop_front();
        }
        let slot = now - now % SLOT_MS;
        match self.slots.back_mut() {
            Some((at, counted)) if *at >= slot => *counted += count,
            _ => self.slots.push_back((slot, count)),
        }
    }

    /// Removes events that were counted at `at`, or at the nearest time before it.
    pub(super) fn remove(&mut self, at: Millis, mut count: u32) {
        for (_, counted) in self.slots.iter_mut().rev().filter(|(slot, _)| *slot <= at) {
            let removed = count.min(*counted);
            *counted -= removed;
            count -= removed;
            if count == 0 {
                return;
            }
        }
    }

    /// Number of events after `from` and up to `to`. Intervals that `from` is in count in full.
    pub(super) fn between(&self, from: Millis, to: Millis) -> u32 {
        let slots = self.slots.iter().rev();
        let recent = slots.take_while(|(at, _)| at + SLOT_MS > from).filter(|(at, _)| *at <= to);
        recent.map(|(_, count)| count).sum()
    }

    /// Number of events in the last `length` milliseconds.
    pub(super) fn last(&self, now: Millis, length: Millis) -> u32 {
        self.between(now.saturating_sub(length), now)
    }
}
