//! A small JSON reader for the store's transactions, and base64 for its values.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            rest: text.as_bytes(),
        };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(items)) => items,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    rest: &'a [u8],
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while let [b' ' | b'\n' | b'\r' | b'\t', rest @ ..] = self.rest {
            self.rest = rest;
        }
    }

    fn take(&mut self, word: &[u8]) -> Option<()> {
        self.skip_space();
        self.rest = self.rest.strip_prefix(word)?;
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.rest.first()? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.string().map(Json::Text),
            b't' => self.take(b"true").map(|()| Json::Bool(true)),
            b'f' => self.take(b"false").map(|()| Json::Bool(false)),
            b'n' => self.take(b"null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let length = self.rest.iter().take_while(|byte| is_part(byte)).count();
        let (number, rest) = self.rest.split_at(length);
        self.rest = rest;
        std::str::from_utf8(number)
            .ok()?
            .parse()
            .ok()
            .map(Json::Number)
    }

    /// Strings of the calls hold no escapes but quotes and backslashes.
    fn string(&mut self) -> Option<String> {
        self.take(b"\"")?;
        let mut bytes = Vec::new();
        loop {
            let (byte, rest) = self.rest.split_first()?;
            self.rest = rest;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let (escaped, rest) = self.rest.split_first()?;
                    self.rest = rest;
                    bytes.push(*escaped);
                }
                byte => bytes.push(*byte),
            }
        }
    }

    fn array(&mut self) -> Option<Json> {
        self.take(b"[")?;
        let mut items = Vec::new();
        if self.take(b"]").is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b"]").is_some() {
                return Some(Json::List(items));
            }
            self.take(b",")?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b"{")?;
        let mut fields = Vec::new();
        if self.take(b"}").is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(b":")?;
            fields.push((name, self.value()?));
            if self.take(b"}").is_some() {
                return Some(Json::Object(fields));
            }
            self.take(b",")?;
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let digit = (number >> (18 - 6 * place)) & 63;
            match place <= chunk.len() {
                true => text.push(char::from(DIGITS[digit as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
