//! Tests of loading settings: layers, malformed input and random input.

mod fuzz;
mod layers;
mod refusal;
mod refused;
mod refused_layers;
