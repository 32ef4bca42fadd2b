//! Budgets of limited resources, with reserved and spent amounts.

use serde::{Deserialize, Serialize};

/// An amount of each limited resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Number of model tokens, prompt and completion.
    pub tokens: u64,
    /// Number of calls.
    pub calls: u64,
    /// Money, in the smallest unit of the deployment's currency.
    pub cost: u64,
}

impl Amount {
    /// Sum of each resource; saturates at `u64::MAX`.
    pub fn plus(self, other: Amount) -> Amount {
        Amount {
            tokens: self.tokens.saturating_add(other.tokens),
            calls: self.calls.saturating_add(other.calls),
            cost: self.cost.saturating_add(other.cost),
        }
    }

    /// Difference of each resource; saturates at 0.
    pub fn minus(self, other: Amount) -> Amount {
        Amount {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
            cost: self.cost.saturating_sub(other.cost),
        }
    }

    /// Minimum of each resource.
    pub fn min(self, other: Amount) -> Amount {
        Amount {
            tokens: self.tokens.min(other.tokens),
            calls: self.calls.min(other.calls),
            cost: self.cost.min(other.cost),
        }
    }

    /// Whether this amount is at least `other` in each resource.
    pub fn covers(self, other: Amount) -> bool {
        self.tokens >= other.tokens && self.calls >= other.calls && self.cost >= other.cost
    }
}

/// Budget of a program: its limit with the reserved and spent amounts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Total amount that the program may spend.
    pub limit: Amount,
    /// Amount reserved for calls in progress and for sub-agents.
    pub reserved: Amount,
    /// Amount spent by settled calls and ended sub-agents.
    pub spent: Amount,
}

impl Budget {
    /// Creates a budget of which nothing is reserved or spent.
    pub fn new(limit: Amount) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Amount that is neither reserved nor spent, under the lower of the limit and `cap`.
    pub fn available(&self, cap: Amount) -> Amount {
        self.limit.min(cap).minus(self.reserved).minus(self.spent)
    }

    /// Reserves `amount` if it is available under `cap`; returns whether it was reserved.
    pub fn reserve(&mut self, amount: Amount, cap: Amount) -> bool {
        if !self.available(cap).covers(amount) {
            return false;
        }
        self.reserved = self.reserved.plus(amount);
        true
    }

    /// Releases the reservation `amount` and adds `spent`, limited to `amount`, to the spent
    /// amount.
    pub fn settle(&mut self, amount: Amount, spent: Amount) {
        self.reserved = self.reserved.minus(amount);
        self.spent = self.spent.plus(spent.min(amount));
    }
}
