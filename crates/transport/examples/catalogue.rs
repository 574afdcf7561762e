//! Prints the page of metrics, docs/METRICS.md.

use sedgeridge_transport::metric_catalogue::metrics_page;

fn main() {
    print!("{}", metrics_page());
}
