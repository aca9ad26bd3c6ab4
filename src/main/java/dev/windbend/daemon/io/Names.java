package dev.windbend.daemon.io;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/** Maps names to dense indices at the door, and back for the wire. */
public final class Names {
  private final Object2IntOpenHashMap<String> indices = new Object2IntOpenHashMap<>();
  private final List<String> names = new ArrayList<>();

  public Names() {
    indices.defaultReturnValue(-1);
  }

  /** -1 if the name is not known. */
  public int find(String name) {
    return indices.getInt(name);
  }

  public int index(String name) {
    int i = indices.getInt(name);
    if (i < 0) {
      i = names.size();
      indices.put(name, i);
      names.add(name);
    }
    return i;
  }

  public String name(int index) {
    return names.get(index);
  }

  public int size() {
    return names.size();
  }
}
