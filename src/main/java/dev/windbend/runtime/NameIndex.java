package dev.windbend.runtime;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/** Maps names to dense indices, counted from 0 in the order in which they were first seen. */
public final class NameIndex {
  /** The index of a name that is not known. */
  public static final int UNKNOWN = -1;

  private final Object2IntOpenHashMap<String> indices = new Object2IntOpenHashMap<>();
  private final List<String> names = new ArrayList<>();

  /** An index without names. */
  public NameIndex() {
    indices.defaultReturnValue(UNKNOWN);
  }

  /** The index of the name, or {@link #UNKNOWN}. */
  public int find(String name) {
    return indices.getInt(name);
  }

  /** The index of the name, which is added if it is not known. */
  public int index(String name) {
    int known = indices.getInt(name);
    if (known != UNKNOWN) {
      return known;
    }
    int added = names.size();
    indices.put(name, added);
    names.add(name);
    return added;
  }

  /** The name with this index. */
  public String name(int index) {
    return names.get(index);
  }

  /** How many names are known. */
  public int size() {
    return names.size();
  }
}
