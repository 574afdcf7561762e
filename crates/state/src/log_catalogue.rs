//! Declares numbered log events; logs and documentation pages take number, name and explanation
//! from here.

/// Declares the enum `LogEvent` of a program's events: doc comment, variant, number, name.
#[macro_export]
macro_rules! log_events {
    ($($(#[doc = $doc:literal])* $name:ident = $code:literal, $label:literal;)*) => {
        /// Events that the program logs.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum LogEvent {
            $($(#[doc = $doc])* $name,)*
        }

        impl LogEvent {
            /// All events, in order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the event's number. The meaning of a number never changes.
            pub fn code(self) -> u16 {
                match self { $(Self::$name => $code,)* }
            }

            /// Returns the event's name.
            pub fn label(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }

            /// Returns the event's explanation.
            pub fn doc(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc,)*).trim_ascii(),)* }
            }
        }
    };
}
