Feature: Crowds of clients outside the limits end no process, and ordinary clients are served afterwards
  Each crowd once ended a process, took more than the memory of its VM, or kept it from serving anyone else.

  Scenario Outline: Bodies in chunks of one byte that never end, at <listener>
    Given a site under crowds, whose processes have the memory of their VMs
    When a crowd of 60 clients sends 60000 chunks of one byte without an end to <listener>
    Then the crowded process lives, within 140 MB
    And an ordinary request is answered there while the crowd stays connected

    Examples:
      | listener              |
      | the order address     |
      | the callers' address  |
      | an unrouted path      |
      | the readiness address |

  Scenario Outline: Bodies in chunks of one byte that never end keep no caller waiting, at <listener>
    Given a site under crowds, whose processes have the memory of their VMs
    When a crowd of 200 clients sends 60000 chunks of one byte without an end to <listener>
    Then the crowded process lives, within 200 MB
    And an ordinary request is answered there while the crowd stays connected

    Examples:
      | listener             |
      | the callers' address |
      | an unrouted path     |

  Scenario Outline: Pipelined requests whose answers are not read, at <listener>
    Given a site under crowds, whose processes have the memory of their VMs
    When a crowd of 300 clients sends 4000 pipelined requests without reading answers to <listener>
    Then the crowded process lives, within 200 MB
    And an ordinary request is answered there while the crowd stays connected

    Examples:
      | listener              |
      | the readiness address |
      | the metrics address   |

  Scenario Outline: Pipelined requests of callers whose answers are not read end no gateway, at <listener>
    Given a site under crowds, whose processes have the memory of their VMs
    When a crowd of 300 clients sends 4000 pipelined requests without reading answers to <listener>
    Then the crowded process lives, within 200 MB

    Examples:
      | listener             |
      | the callers' address |
      | an unrouted path     |

  @known-red
  Scenario Outline: Pipelined requests of callers whose answers are not read keep no caller waiting, at <listener>
    Given a site under crowds, whose processes have the memory of their VMs
    When a crowd of 300 clients sends 4000 pipelined requests without reading answers to <listener>
    Then the crowded process lives, within 200 MB
    And an ordinary request is answered there while the crowd stays connected

    Examples:
      | listener             |
      | the callers' address |
      | an unrouted path     |

  Scenario Outline: More connections than the process keeps open, at <listener>
    Given a site under crowds, whose processes keep at most 100 connections
    When a crowd of 400 clients connects and sends half a request to <listener>
    Then the crowded process has at most 180 open descriptors
    And an ordinary request is answered there while the crowd stays connected

    Examples:
      | listener              |
      | the order address     |
      | the callers' address  |
      | the readiness address |
      | the directory address |
      | the metrics address   |
      | the peers' address    |
