import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer; integers are read without a limit on their size. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("trailing text at " + json.at);
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  /** Builds an object from names and values in turn. */
  static Map<String, Object> of(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> map(Object value) {
    return (Map<String, Object>) value;
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Object value) {
    return value == null ? List.of() : (List<Object>) value;
  }

  /** A count of the protocol: an integer from 0 to 2^64 - 1. */
  static BigInteger count(Object value) {
    if (!(value instanceof BigInteger number)
        || number.signum() < 0
        || number.bitLength() > Long.SIZE) {
      throw new IllegalArgumentException("not a count: " + value);
    }
    return number;
  }

  static double number(Object value) {
    return ((Number) value).doubleValue();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      String separator = "{";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append(map.isEmpty() ? "{}" : "}");
    } else if (value instanceof List<?> list) {
      out.append('[');
      String separator = "";
      for (Object element : list) {
        out.append(separator);
        write(element, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char c : string.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private boolean take(char c) {
    space();
    if (at < text.length() && text.charAt(at) == c) {
      at++;
      return true;
    }
    return false;
  }

  private void need(char c) {
    if (!take(c)) {
      throw new IllegalArgumentException("no '" + c + "' at " + at);
    }
  }

  private Object value() {
    space();
    if (at >= text.length()) {
      throw new IllegalArgumentException("ends early");
    }
    char c = text.charAt(at);
    if (c == '{') {
      return objectValue();
    } else if (c == '[') {
      return listValue();
    } else if (c == '"') {
      return string();
    } else if (c == '-' || Character.isDigit(c)) {
      return numberValue();
    }
    for (Object word : new Object[] {true, false, "null"}) {
      if (text.startsWith(word.toString(), at)) {
        at += word.toString().length();
        return "null".equals(word) ? null : word;
      }
    }
    throw new IllegalArgumentException("no value at " + at);
  }

  private Object objectValue() {
    need('{');
    Map<String, Object> map = new LinkedHashMap<>();
    if (take('}')) {
      return map;
    }
    do {
      space();
      String name = string();
      need(':');
      map.put(name, value());
    } while (take(','));
    need('}');
    return map;
  }

  private Object listValue() {
    need('[');
    List<Object> list = new ArrayList<>();
    if (take(']')) {
      return list;
    }
    do {
      list.add(value());
    } while (take(','));
    need(']');
    return list;
  }

  private Object numberValue() {
    int from = at;
    boolean integer = true;
    while (at < text.length() && "+-0123456789.eE".indexOf(text.charAt(at)) >= 0) {
      integer &= ".eE".indexOf(text.charAt(at)) < 0;
      at++;
    }
    String digits = text.substring(from, at);
    return integer ? new BigInteger(digits) : new BigDecimal(digits);
  }

  private String string() {
    need('"');
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escape = text.charAt(at++);
      switch (escape) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escape);
      }
    }
    at++;
    return out.toString();
  }
}
