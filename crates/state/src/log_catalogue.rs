//! Declares numbered log events, from which pages and logs take number, name and explanation.

/// Declares the enum `LogEvent` of a program's events: doc comment, variant, number, name.
#[macro_export]
macro_rules! log_events {
    ($($(#[doc = $doc:literal])* $name:ident = $code:literal, $label:literal;)*) => {
        /// Everything that is logged.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum LogEvent {
            $($(#[doc = $doc])* $name,)*
        }

        impl LogEvent {
            /// Every event, in order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number, which never changes its meaning.
            pub fn code(self) -> u16 {
                match self { $(Self::$name => $code,)* }
            }

            /// Returns the name.
            pub fn label(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }

            /// Returns the explanation.
            pub fn doc(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc,)*).trim_ascii(),)* }
            }
        }
    };
}
