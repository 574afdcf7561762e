//! Measures the cost of each role at several sizes and extrapolates it to the size to design for.

pub mod design;
pub mod figures;
pub mod fit;
pub mod fleet;
pub mod memory_table;
pub mod meter;
pub mod page;
pub mod page_failures;
pub mod page_overruns;
pub mod random;
pub mod role_rows;
pub mod roles;
pub mod runner;
pub mod sample;
pub mod series;
pub mod svg;
pub mod target;
