package dev.windbend.job;

import java.util.List;

/** What a user asked for; immutable once accepted. VersionedValue as it is. */
public record JobSpec(
    String uid,
    String kind,
    String team,
    Urgency urgency,
    int tasks,
    double cores,
    double cards,
    double ram,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean together,
    boolean spread,
    boolean spot,
    double estimateS,
    double checkpointS,
    double saveS,
    Double dueS) {}
