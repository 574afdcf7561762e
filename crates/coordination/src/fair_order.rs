//! The fair order: backlogged accounts by weighted service, least first.

use std::collections::BTreeSet;

/// Fraction bits of a [`Tag`]. The rest lasts for a century of the service designed for.
const TAG_FRACTION_BITS: u32 = 8;

/// Weighted service of an account: tokens divided by weight, in fixed point.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag(i64);

impl Tag {
    /// Returns this tag moved on by `service_tokens` at `weight`; negative service moves it back.
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

/// An account in the order.
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
    entries: BTreeSet<OrderKey>,
    last_minimum: Tag,
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
    pub fn insert(&mut self, place: OrderKey) {
        self.entries.insert(place);
    }

    /// Removes an account; `place` must be the one that it was added with.
    ///
    /// ```
    /// use sedgeridge_coordination::fair_order::{FairOrder, OrderKey, Tag};
    ///
    /// let mut order = FairOrder::default();
    /// let place = OrderKey { tag: Tag::default(), rank: 0, account: 0 };
    /// order.insert(place);
    /// order.remove(place);
    /// assert_eq!(order.first(), None);
    /// ```
    pub fn remove(&mut self, place: OrderKey) {
        self.entries.remove(&place);
    }

    /// Returns the account that is served next.
    ///
    /// ```
    /// assert_eq!(sedgeridge_coordination::fair_order::FairOrder::default().first(), None);
    /// ```
    pub fn first(&self) -> Option<u32> {
        self.entries.first().map(|place| place.account)
    }

    /// Returns the least tag that a newly backlogged account may start with.
    ///
    /// That is the minimum of the backlogged accounts, or the last one when none is backlogged:
    /// without it an account that was idle for a day would come back with a day of credit and
    /// starve the others.
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
        self.entries
            .first()
            .map_or(self.last_minimum, |place| place.tag)
    }

    /// Forgets all accounts but keeps the floor.
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
        self.note_minimum();
        self.entries.clear();
    }

    /// Remembers the minimum; called before changes that may leave no account backlogged.
    ///
    /// ```
    /// use sedgeridge_coordination::fair_order::{FairOrder, OrderKey, Tag};
    ///
    /// let mut order = FairOrder::default();
    /// let place = OrderKey { tag: Tag::default().advanced(3, 1), rank: 0, account: 0 };
    /// order.insert(place);
    /// order.note_minimum();
    /// order.remove(place);
    /// assert_eq!(order.floor(), Tag::default().advanced(3, 1));
    /// ```
    pub fn note_minimum(&mut self) {
        self.last_minimum = self.floor();
    }
}
