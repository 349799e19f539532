//! Macros for the common derives and conversions of data types.

/// Derives the common traits of a plain data type.
macro_rules! plain_data {
    ($item:item) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $item
    };
}

/// Derives the common traits of a small copyable value that can be a map key.
macro_rules! plain_value {
    ($item:item) => {
        #[derive(
            Clone,
            Copy,
            Debug,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            serde::Serialize,
            serde::Deserialize,
        )]
        $item
    };
}

/// Defines a newtype over a checked name: 1 to 64 characters of `a-z`, `0-9`, `-`, `.` and `_`.
macro_rules! name_type {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::values::InvalidNameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::values::check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::values::InvalidNameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

/// Defines a copyable newtype over a number, with `Display` and `FromStr` as the bare number.
macro_rules! number_type {
    ($(#[$attribute:meta])* $name:ident($inner:ty)) => {
        plain_value! {
            $(#[$attribute])*
            #[derive(Default)]
            #[serde(transparent)]
            pub struct $name(pub $inner);
        }

        impl std::str::FromStr for $name {
            type Err = <$inner as std::str::FromStr>::Err;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}
