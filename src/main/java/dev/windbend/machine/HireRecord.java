package dev.windbend.machine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A rental as stored, from before the cloud is asked until none of its machines is left with this
 * part. {@code machines} null: the cloud has not answered yet.
 */
public record HireRecord(
    @JsonProperty("type") String type,
    @JsonProperty("zone") String zone,
    @JsonProperty("spot") boolean spot,
    @JsonProperty("count") int count,
    @JsonProperty("machines") List<String> machines) {
  /** Below it: part, then the rental's name. */
  public static final String KEYS = "w/h/";

  public static String prefix(int part) {
    return KEYS + part + "/";
  }

  /** The part of a rental's key, -1 if it is none. */
  static int part(String key) {
    int end = key.indexOf('/', KEYS.length());
    try {
      return end < 0 ? -1 : Integer.parseInt(key.substring(KEYS.length(), end));
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  public boolean open() {
    return machines == null;
  }
}
