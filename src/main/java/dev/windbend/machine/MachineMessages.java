package dev.windbend.machine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** Parts of messages between controllers that describe requirements on machines. */
public final class MachineMessages {
  private MachineMessages() {}

  /**
   * Requirements of a task on a machine, as exchanged between controllers. Types and zones are
   * given by name.
   *
   * @param types allowed machine types; null: any
   * @param zones allowed zones; null: any
   * @param spot whether spot machines are allowed
   */
  public record TaskRequirements(
      @JsonProperty("cores") double cores,
      @JsonProperty("cards") double gpus,
      @JsonProperty("ram") double memoryGb,
      @JsonProperty("types") List<String> types,
      @JsonProperty("zones") List<String> zones,
      @JsonProperty("spot") boolean spot) {

    /** Whether the task may run on the machine, regardless of the tasks on it. */
    public boolean allows(Machine machine) {
      return (types == null || types.contains(machine.type().name()))
          && (zones == null || zones.contains(machine.zoneName()))
          && (spot || !machine.spot())
          && machine.type().fits(cores, gpus, memoryGb);
    }

    /** Whether the task may run on the machine in addition to the tasks on it. */
    public boolean hasCapacityOn(Machine machine) {
      return allows(machine) && machine.hasCapacityFor(cores, gpus, memoryGb);
    }
  }
}
