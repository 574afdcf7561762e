//! Chooses among the endpoints of a plain service when other hosts' recent requests are not known yet.
//!
//! If all hosts chose the endpoint with the least known work, they would choose the same one until the next reports. The
//! requests that are expected meanwhile are spread instead, such that all endpoints take equally long afterwards.

/// An endpoint that could take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainOption {
    /// Cost of the endpoint with the work that is known.
    pub cost_ms: f64,
    /// Increase of the cost for each further request.
    pub cost_per_request_ms: f64,
}

/// Draws an option, given the number of `unseen` requests of other hosts and a number from 0 to 1; `None` if there are
/// no options or so few unseen requests that the cheapest option is the best.
///
/// ```
/// use sedgeridge_fleet::plain_choice::{PlainOption, draw_option};
///
/// let option = |cost_ms| PlainOption { cost_ms, cost_per_request_ms: 5.0 };
/// let options = [option(10.0), option(40.0)];
/// assert_eq!(draw_option(&options, 0.5, 0.9), None);
/// assert_eq!(draw_option(&options, 4.0, 0.9), Some(0));
/// assert_eq!(draw_option(&options, 40.0, 0.9), Some(1));
/// ```
pub fn draw_option(options: &[PlainOption], unseen: f64, draw: f64) -> Option<usize> {
    if unseen < 1.0 {
        return None;
    }
    let level_ms = common_level(options, unseen)?;
    let mut left = draw * unseen;
    let mut last = None;
    for (index, option) in options.iter().enumerate() {
        let taken = option.room_below(level_ms);
        if taken > 0.0 {
            last = Some(index);
            left -= taken;
        }
        if left <= 0.0 && last.is_some() {
            break;
        }
    }
    last
}

impl PlainOption {
    /// Returns the requests with which the cost reaches `level_ms`.
    fn room_below(&self, level_ms: f64) -> f64 {
        (level_ms - self.cost_ms).max(0.0) / self.cost_per_request_ms.max(f64::MIN_POSITIVE)
    }
}

/// Returns the cost up to which the options can be filled with `requests` in total.
fn common_level(options: &[PlainOption], requests: f64) -> Option<f64> {
    let mut by_cost: Vec<_> = options.iter().collect();
    by_cost.sort_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms));
    // With the k cheapest options filled to a level: level * rate - weighted_cost = requests.
    let (mut rate, mut weighted_cost) = (0.0, 0.0);
    let mut level_ms = None;
    for option in by_cost {
        if level_ms.is_some_and(|level_ms| level_ms <= option.cost_ms) {
            break;
        }
        let option_rate = 1.0 / option.cost_per_request_ms.max(f64::MIN_POSITIVE);
        rate += option_rate;
        weighted_cost += option.cost_ms * option_rate;
        level_ms = Some((requests + weighted_cost) / rate);
    }
    level_ms
}
