//! The fair order of backlogged accounts: by weighted service, least first.

use std::collections::BTreeSet;

/// Fraction bits of a [`Tag`]. The other bits suffice for a century of service at the design rate.
const TAG_FRACTION_BITS: u32 = 8;

/// Weighted service of an account: tokens divided by weight, in fixed point.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag(i64);

impl Tag {
    /// Returns this tag advanced by `service_tokens` at `weight`; negative service moves it back.
    ///
    /// ```
    /// use sedgeridge_coordination::fair_order::Tag;
    ///
    /// let heavy = Tag::default().advanced(400, 4);
    /// let light = Tag::default().advanced(100, 1);
    /// assert_eq!(heavy, light);
    /// ```
    pub fn advanced(self, service_tokens: i64, weight: u32) -> Self {
        let service = service_tokens.saturating_mul(1 << TAG_FRACTION_BITS);
        Self(self.0.saturating_add(service / i64::from(weight.max(1))))
    }

    /// Returns whole tokens per unit of weight.
    ///
    /// ```
    /// use sedgeridge_coordination::fair_order::Tag;
    ///
    /// assert_eq!(Tag::default().advanced(300, 2).tokens_per_weight(), 150);
    /// ```
    pub fn tokens_per_weight(self) -> i64 {
        self.0 >> TAG_FRACTION_BITS
    }
}

/// Sort key of an account in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// Weighted service.
    pub tag: Tag,
    /// Breaks ties between equal tags.
    pub rank: u32,
    /// The account.
    pub account: u32,
}

/// Backlogged accounts, ordered by tag and then by rank.
#[derive(Debug, Default)]
pub struct FairOrder {
    keys: BTreeSet<OrderKey>,
    last_minimum_tag: Tag,
}

impl FairOrder {
    /// Adds an account.
    ///
    /// ```
    /// use sedgeridge_coordination::fair_order::{FairOrder, OrderKey, Tag};
    ///
    /// let mut order = FairOrder::default();
    /// order.insert(OrderKey { tag: Tag::default().advanced(10, 1), rank: 0, account: 0 });
    /// order.insert(OrderKey { tag: Tag::default().advanced(5, 1), rank: 1, account: 1 });
    /// assert_eq!(order.first(), Some(1));
    /// ```
    pub fn insert(&mut self, key: OrderKey) {
        self.keys.insert(key);
    }

    /// Removes an account; `key` must be the one that it was added with.
    ///
    /// ```
    /// use sedgeridge_coordination::fair_order::{FairOrder, OrderKey, Tag};
    ///
    /// let mut order = FairOrder::default();
    /// let key = OrderKey { tag: Tag::default(), rank: 0, account: 0 };
    /// order.insert(key);
    /// order.remove(key);
    /// assert_eq!(order.first(), None);
    /// ```
    pub fn remove(&mut self, key: OrderKey) {
        self.keys.remove(&key);
    }

    /// Returns the account that is served next.
    ///
    /// ```
    /// assert_eq!(sedgeridge_coordination::fair_order::FairOrder::default().first(), None);
    /// ```
    pub fn first(&self) -> Option<u32> {
        self.keys.first().map(|key| key.account)
    }

    /// Returns the least tag that a newly backlogged account may start with.
    ///
    /// That is the minimum of the backlogged accounts, or the last minimum if none is backlogged.
    /// Otherwise an account that was idle for a day would return with a day of credit and starve
    /// the others.
    ///
    /// ```
    /// use sedgeridge_coordination::fair_order::{FairOrder, OrderKey, Tag};
    ///
    /// let mut order = FairOrder::default();
    /// let tag = Tag::default().advanced(7, 1);
    /// order.insert(OrderKey { tag, rank: 0, account: 0 });
    /// assert_eq!(order.floor(), tag);
    /// ```
    pub fn floor(&self) -> Tag {
        self.keys
            .first()
            .map_or(self.last_minimum_tag, |key| key.tag)
    }

    /// Removes all accounts but keeps the floor.
    ///
    /// ```
    /// use sedgeridge_coordination::fair_order::{FairOrder, OrderKey, Tag};
    ///
    /// let mut order = FairOrder::default();
    /// order.insert(OrderKey { tag: Tag::default(), rank: 3, account: 0 });
    /// order.clear();
    /// assert_eq!(order.first(), None);
    /// ```
    pub fn clear(&mut self) {
        self.remember_minimum();
        self.keys.clear();
    }

    /// Remembers the minimum; called before changes after which no account may be backlogged.
    ///
    /// ```
    /// use sedgeridge_coordination::fair_order::{FairOrder, OrderKey, Tag};
    ///
    /// let mut order = FairOrder::default();
    /// let key = OrderKey { tag: Tag::default().advanced(3, 1), rank: 0, account: 0 };
    /// order.insert(key);
    /// order.remember_minimum();
    /// order.remove(key);
    /// assert_eq!(order.floor(), Tag::default().advanced(3, 1));
    /// ```
    pub fn remember_minimum(&mut self) {
        self.last_minimum_tag = self.floor();
    }
}
