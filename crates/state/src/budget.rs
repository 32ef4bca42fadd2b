//! Budgets and what is drawn from them.

use serde::{Deserialize, Serialize};

/// An amount of each limited resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Model tokens, prompt and completion.
    pub tokens: u64,
    /// Calls.
    pub calls: u64,
    /// Money, in the deployment's smallest unit.
    pub cost: u64,
}

impl Amount {
    /// Sum; saturates.
    pub fn plus(self, other: Amount) -> Amount {
        Amount {
            tokens: self.tokens.saturating_add(other.tokens),
            calls: self.calls.saturating_add(other.calls),
            cost: self.cost.saturating_add(other.cost),
        }
    }

    /// Difference; stops at zero.
    pub fn minus(self, other: Amount) -> Amount {
        Amount {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
            cost: self.cost.saturating_sub(other.cost),
        }
    }

    /// The smaller of each resource.
    pub fn min(self, other: Amount) -> Amount {
        Amount {
            tokens: self.tokens.min(other.tokens),
            calls: self.calls.min(other.calls),
            cost: self.cost.min(other.cost),
        }
    }

    /// Whether `other` fits into this amount.
    pub fn covers(self, other: Amount) -> bool {
        self.tokens >= other.tokens && self.calls >= other.calls && self.cost >= other.cost
    }
}

/// Limit of a program, with what is reserved and spent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// What the program may draw in all.
    pub limit: Amount,
    /// Held back for calls under way and for sub-agents.
    pub reserved: Amount,
    /// Drawn for good.
    pub spent: Amount,
}

impl Budget {
    /// An unused budget.
    pub fn new(limit: Amount) -> Self {
        Self { limit, ..Self::default() }
    }

    /// What is left under the lower of the own limit and `cap`.
    pub fn available(&self, cap: Amount) -> Amount {
        self.limit.min(cap).minus(self.reserved).minus(self.spent)
    }

    /// Reserves `amount` if it is available under `cap`.
    pub fn reserve(&mut self, amount: Amount, cap: Amount) -> bool {
        if !self.available(cap).covers(amount) {
            return false;
        }
        self.reserved = self.reserved.plus(amount);
        true
    }

    /// Turns the reservation `amount` into `spent`, which never exceeds it.
    pub fn settle(&mut self, amount: Amount, spent: Amount) {
        self.reserved = self.reserved.minus(amount);
        self.spent = self.spent.plus(spent.min(amount));
    }
}
