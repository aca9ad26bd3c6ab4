package dev.windbend.runtime;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/** Maps names to consecutive indices, starting at 0, in the order in which the names are added. */
public final class NameIndex {
  /** The index of a name that was not added. */
  public static final int UNKNOWN = -1;

  private final Object2IntOpenHashMap<String> indices = new Object2IntOpenHashMap<>();
  private final List<String> names = new ArrayList<>();

  /** Creates an index without names. */
  public NameIndex() {
    indices.defaultReturnValue(UNKNOWN);
  }

  /** Returns the index of the name, or {@link #UNKNOWN}. */
  public int find(String name) {
    return indices.getInt(name);
  }

  /** Returns the index of the name, which is added if it is unknown. */
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

  /** Returns the name with this index. */
  public String name(int index) {
    return names.get(index);
  }

  /** Returns the number of names. */
  public int size() {
    return names.size();
  }
}
