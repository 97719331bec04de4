/**
 * A persistent search tree (treap) that counts its items. Invariant: no operation changes a tree that it was given;
 * insert, remove, least, greatest and the number of items before one take O(log n) expected steps. The shape depends
 * on the items' ids alone, so equal items give equal trees.
 */

/** What the tree needs of an item. */
export interface TreeItem {
  /** A number that spreads the items in the tree; equal ones only cost time. */
  readonly id: number;
}

/** Returns a negative number if the left item comes first, and 0 only for the same item. */
export type Compare<T> = (left: T, right: T) => number;

/** A tree, or undefined for the empty one. */
export type Tree<T> = TreeNode<T> | undefined;

interface TreeNode<T> {
  readonly item: T;
  readonly priority: number;
  readonly size: number;
  readonly left: Tree<T>;
  readonly right: Tree<T>;
}

/** Returns a well-mixed 32-bit hash of the id (the finalizer of MurmurHash3), which serves as heap priority. */
function hashId(id: number): number {
  let hash = Math.imul(id ^ (id >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Returns the id of an item that is known by its name. */
export function hashName(name: string): number {
  return Array.from(name).reduce((hash, char) => (Math.imul(hash, 31) + char.charCodeAt(0)) | 0, 7);
}

/** Returns the number of items. */
export function countItems<T>(tree: Tree<T>): number {
  return tree?.size ?? 0;
}

function buildNode<T>(
  { item, priority }: Pick<TreeNode<T>, 'item' | 'priority'>,
  left: Tree<T>,
  right: Tree<T>,
): TreeNode<T> {
  return { item, priority, left, right, size: 1 + countItems(left) + countItems(right) };
}

/** Splits a tree into the items before `item` and the others. */
function divideTree<T>(tree: Tree<T>, item: T, compare: Compare<T>): readonly [Tree<T>, Tree<T>] {
  if (tree === undefined) return [undefined, undefined];
  if (compare(tree.item, item) < 0) {
    const [before, after] = divideTree(tree.right, item, compare);
    return [buildNode(tree, tree.left, before), after];
  }
  const [before, after] = divideTree(tree.left, item, compare);
  return [before, buildNode(tree, after, tree.right)];
}

/** Joins two trees; every item of `left` comes before those of `right`. */
function joinTrees<T>(left: Tree<T>, right: Tree<T>): Tree<T> {
  if (left === undefined) return right;
  if (right === undefined) return left;
  return left.priority > right.priority
    ? buildNode(left, left.left, joinTrees(left.right, right))
    : buildNode(right, joinTrees(left, right.left), right.right);
}

/**
 * Returns the tree with the item added.
 *
 * @example
 * addItem(undefined, { id: 1 }, (left, right) => left.id - right.id)
 */
export function addItem<T extends TreeItem>(tree: Tree<T>, item: T, compare: Compare<T>): Tree<T> {
  const priority = hashId(item.id);
  if (tree === undefined || priority > tree.priority) {
    const [before, after] = divideTree(tree, item, compare);
    return buildNode({ item, priority }, before, after);
  }
  return compare(item, tree.item) < 0
    ? buildNode(tree, addItem(tree.left, item, compare), tree.right)
    : buildNode(tree, tree.left, addItem(tree.right, item, compare));
}

/**
 * Returns the tree without the item, or the same tree if it doesn't hold it.
 *
 * @example
 * removeItem(tree, { id: 1 }, (left, right) => left.id - right.id)
 */
export function removeItem<T extends TreeItem>(
  tree: Tree<T>,
  item: T,
  compare: Compare<T>,
): Tree<T> {
  if (tree === undefined) return undefined;
  const order = compare(item, tree.item);
  if (order === 0) return joinTrees(tree.left, tree.right);
  if (order < 0) {
    const left = removeItem(tree.left, item, compare);
    return left === tree.left ? tree : buildNode(tree, left, tree.right);
  }
  const right = removeItem(tree.right, item, compare);
  return right === tree.right ? tree : buildNode(tree, tree.left, right);
}

/** Returns the item that compares as equal to `wanted`. */
export function findItem<T>(tree: Tree<T>, wanted: T, compare: Compare<T>): T | undefined {
  if (tree === undefined) return undefined;
  const order = compare(wanted, tree.item);
  if (order === 0) return tree.item;
  return findItem(order < 0 ? tree.left : tree.right, wanted, compare);
}

/** Returns the first item, or undefined if the tree is empty. */
export function findFirst<T>(tree: Tree<T>): T | undefined {
  return tree?.left === undefined ? tree?.item : findFirst(tree.left);
}

/** Returns the last item, or undefined if the tree is empty. */
export function findLast<T>(tree: Tree<T>): T | undefined {
  return tree?.right === undefined ? tree?.item : findLast(tree.right);
}

/** Returns the number of items that come before the given one, which need not be in the tree. */
export function countBefore<T>(tree: Tree<T>, item: T, compare: Compare<T>): number {
  if (tree === undefined) return 0;
  return compare(tree.item, item) < 0
    ? countItems(tree.left) + 1 + countBefore(tree.right, item, compare)
    : countBefore(tree.left, item, compare);
}

/** Returns all items in order. */
export function listItems<T>(tree: Tree<T>): readonly T[] {
  return tree === undefined ? [] : [...listItems(tree.left), tree.item, ...listItems(tree.right)];
}
